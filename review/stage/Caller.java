import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends one request on a channel of its own and waits for the answer. */
final class Caller {
    private Caller() {}

    /** Returns the answer, null if the channel ends without one or the time limit passes. */
    static Message exchange(int port, String method, String path, String host, String attempt, int limitMs, String more,
        String body) {
        try (Socket channel = new Socket(InetAddress.getLoopbackAddress(), port)) {
            channel.setTcpNoDelay(true);
            channel.setSoTimeout(limitMs + 500);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + attempt
                + "\r\nDeadline-Ms: " + limitMs + "\r\n" + more + "Content-Length: " + bytes.length + "\r\n\r\n";
            channel.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            channel.getOutputStream().write(bytes);
            return Message.read(new BufferedInputStream(channel.getInputStream()));
        } catch (IOException | RuntimeException ended) {
            return null;
        }
    }
}
