package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends one request on a new channel and reads its answer. */
public final class Client {
    /** The end of one request: the status, 0 without a whole answer, and why. */
    public record Outcome(String attempt, int status, String stamp, int bytes, long sentAt, long endedAt, String end) {
        public boolean isServed() {
            return status >= 200 && status < 300 && stamp != null;
        }
    }

    private static final int PART_BYTES = 32_768;

    private Client() { }

    public static Outcome send(Record record, int port, String method, String path, String attempt, String headers,
        byte[] body, int deadlineMs) {
        return send(record, port, method, path, attempt, headers, body, deadlineMs, Integer.MAX_VALUE);
    }

    /** Sends the body at no more than {@code bytesPerSecond}, as over a line of that bandwidth. */
    public static Outcome send(Record record, int port, String method, String path, String attempt, String headers,
        byte[] body, int deadlineMs, int bytesPerSecond) {
        String head = method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + attempt
            + "\r\nDeadline-Ms: " + deadlineMs + "\r\n" + headers
            + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        long sentAt = record.now();
        record.add("client sends " + attempt + " " + method + " " + path + " bytes="
            + (body == null ? 0 : body.length) + " port=" + port);
        Outcome outcome;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(deadlineMs);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) write(socket.getOutputStream(), body, bytesPerSecond);
            sentAt = record.now();
            record.add("client sent " + attempt);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http answer = Http.readHead(in);
            if (answer == null) throw new IOException("the channel was closed without an answer");
            int length = answer.readBody(in).length;
            outcome = new Outcome(attempt, answer.status(), answer.get("server-stamp"), length, sentAt, record.now(),
                "complete");
        } catch (IOException | InterruptedException failed) {
            outcome = new Outcome(attempt, 0, null, 0, sentAt, record.now(), failed.toString());
        }
        record.add("client got " + attempt + " status=" + outcome.status + " stamp=" + outcome.stamp + " bytes="
            + outcome.bytes + " after=" + (outcome.endedAt - outcome.sentAt) + "ms " + outcome.end);
        return outcome;
    }

    private static void write(OutputStream out, byte[] body, int bytesPerSecond)
        throws IOException, InterruptedException {
        long start = System.nanoTime();
        for (int at = 0; at < body.length; at += PART_BYTES) {
            out.write(body, at, Math.min(PART_BYTES, body.length - at));
            long due = start + at * 1_000_000_000L / bytesPerSecond;
            Thread.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
        }
    }
}
