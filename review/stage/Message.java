import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** An HTTP/1.1 message as it was received: its first line, its headers and its body. */
final class Message {
    final String first;
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];

    private Message(String first) {
        this.first = first;
    }

    /** Reads one message; null at the end of the channel before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
            message.body = body.toByteArray();
        } else if (message.header("Content-Length") != null) {
            message.body = exactly(in, Integer.parseInt(message.header("Content-Length")));
        }
        return message;
    }

    private static Message readHead(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Message message = new Message(first);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
        return message;
    }

    String header(String name) {
        for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
        return null;
    }

    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    private static int chunk(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) throw new IOException("broken off");
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new IOException("broken off");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (line.size() == 0) return null;
                throw new IOException("broken off");
            }
            if (c != '\r') line.write(c);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
