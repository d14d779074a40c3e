package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One message of HTTP/1.1, with its header names in lower case. */
public final class Http {
    public final String first;
    public final Map<String, String> headers;

    private Http(String first, Map<String, String> headers) {
        this.first = first;
        this.headers = headers;
    }

    /** Reads a head; returns null if the channel ends before its first byte. */
    public static Http readHead(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Http(first, headers);
    }

    public String get(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    public int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    /** Reads the whole body; throws EOFException if the channel ends before. */
    public byte[] readBody(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(get("transfer-encoding"))) {
            while (true) {
                String size = line(in);
                if (size == null) throw new EOFException("ended between chunks");
                int length = Integer.parseInt(size.trim(), 16);
                copy(in, out, length);
                line(in);
                if (length == 0) return out.toByteArray();
            }
        }
        if (get("content-length") != null) copy(in, out, Integer.parseInt(get("content-length")));
        return out.toByteArray();
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int length) throws IOException {
        byte[] part = new byte[65_536];
        for (int left = length; left > 0; ) {
            int read = in.read(part, 0, Math.min(left, part.length));
            if (read < 0) throw new EOFException("ended " + left + " bytes before the end of " + length);
            out.write(part, 0, read);
            left -= read;
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int read = in.read();
        if (read < 0) return null;
        for (; read >= 0 && read != '\n'; read = in.read()) if (read != '\r') out.write(read);
        if (read < 0) throw new EOFException("ended within a line");
        return out.toString(java.nio.charset.StandardCharsets.ISO_8859_1);
    }
}
