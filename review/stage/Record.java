import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, in one file; times are milliseconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%6d  %s%n", now(), String.format(format, values));
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
