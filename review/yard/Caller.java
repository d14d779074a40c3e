import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A requester with one channel that it keeps. */
final class Caller implements AutoCloseable {
    final Socket socket;
    final InputStream in;

    Caller(String address) throws IOException {
        socket = connect(address);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static Socket connect(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        return new Socket(InetAddress.getByName(address.substring(0, colon)), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Sends a request with [headers], each of which ends with CRLF, and [body] behind its length. */
    void send(String line, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String length = line.startsWith("GET") ? "" : "Content-Length: " + bytes.length + "\r\n";
        raw(line + " HTTP/1.1\r\n" + headers + length + "\r\n" + body);
    }

    void raw(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    /** Returns the next answer, null if the channel has ended without one; a reset counts as an end. */
    Message answer(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
        return Message.read(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
