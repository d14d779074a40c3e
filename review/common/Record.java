package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, run and answered, with milliseconds since the start; written to record.txt. */
public final class Record {
    private final long start = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    public long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    public synchronized void add(String line) {
        lines.add(String.format("%7d %s", now(), line));
    }

    public synchronized void write(Path file) {
        try {
            Files.write(file, lines);
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }
}
