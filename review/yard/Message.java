import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The head of an HTTP/1.1 request or response, and its body once it has been read. */
final class Message {
    final String first;
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];

    /** Whether the body has ended as its head says it would. */
    boolean isWhole;

    private Message(String first) {
        this.first = first;
    }

    /** Returns the next head; null if the channel has ended before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String first = line(in);
        while (first != null && first.isEmpty()) first = line(in);
        if (first == null) return null;
        Message message = new Message(first);
        for (String line = line(in); ; line = line(in)) {
            if (line == null) throw new EOFException("the channel has ended within a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
    }

    /** Returns the next message with its body, null if the channel has ended before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) message.readBody(in);
        return message;
    }

    String header(String name) {
        for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
        return null;
    }

    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    String path() {
        return first.split(" ")[1];
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads what the head says that follows it; a response without a length ends with its channel. */
    void readBody(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String length = header("Content-Length");
        try {
            if ("chunked".equalsIgnoreCase(header("Transfer-Encoding"))) {
                while (true) {
                    String size = line(in);
                    if (size == null) return;
                    int count = Integer.parseInt(size.split(";")[0].trim(), 16);
                    if (!copy(in, out, count)) return;
                    if (line(in) == null) return;
                    if (count == 0) break;
                }
                isWhole = true;
            } else if (length != null) {
                isWhole = copy(in, out, Integer.parseInt(length));
            } else if (first.startsWith("HTTP/")) {
                in.transferTo(out);
                isWhole = true;
            } else {
                isWhole = true;
            }
        } finally {
            body = out.toByteArray();
        }
    }

    private static boolean copy(InputStream in, ByteArrayOutputStream out, int count) throws IOException {
        byte[] buffer = new byte[16_384];
        int left = count;
        while (left > 0) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) return false;
            out.write(buffer, 0, read);
            left -= read;
        }
        return true;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int next = in.read(); ; next = in.read()) {
            if (next < 0) return out.size() == 0 ? null : out.toString(StandardCharsets.ISO_8859_1);
            if (next == '\n') break;
            if (next != '\r') out.write(next);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }
}
