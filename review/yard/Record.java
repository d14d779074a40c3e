import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, text);
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
