package review;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;

/** A sound replica (PROTOCOL.md, replicas): runs requests in slots, echoes their ids and stamps its answers. */
public final class Replica {
    /** What a request runs as. */
    public interface Work {
        byte[] run(Http head, byte[] body) throws InterruptedException;
    }

    /** Idle channels are closed after a timeout, as the header Keep-Alive says. */
    private static final int IDLE_TIMEOUT_MS = 2000;

    public final String id;
    private final String service;
    private final List<Object> models;
    private final Work work;
    private final Record record;
    private final ServerSocket server;
    private final Semaphore slots = new Semaphore(32);
    private final long born = System.currentTimeMillis();

    public Replica(String id, String service, List<Object> models, Record record, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.models = models;
        this.record = record;
        this.work = work;
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Thread accepting = new Thread(this::accept, id);
        accepting.setDaemon(true);
        accepting.start();
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The entry that it writes to the platform's store. */
    public Map<String, Object> entry() {
        return Json.object("service", service, "address", address(), "zone", "zone-1", "version", "v1", "slots", 32,
            "state", "ready", "coldLeftMs", 0, "stage", "combined", "models", models, "seq", 1, "born", born);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), id);
                thread.setDaemon(true);
                thread.start();
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(IDLE_TIMEOUT_MS);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 65_536);
            for (Http head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                answer(head, head.readBody(in), out);
                out.flush();
            }
        } catch (SocketTimeoutException idle) {
            // The channel closes with its socket.
        } catch (SocketException closed) {
            record.add("replica " + id + " channel closed");
        } catch (IOException | InterruptedException ended) {
            record.add("replica " + id + " channel ended: " + ended.getMessage());
        }
    }

    private void answer(Http head, byte[] body, OutputStream out) throws IOException, InterruptedException {
        String path = head.first.split(" ")[1];
        String expected = head.get("expect-instance");
        String attempt = head.get("attempt-id");
        if (expected != null && !expected.equals(id)) {
            write(out, "421 Misdirected Request", attempt, "Not-Executed: 1\r\n", new byte[0]);
        } else if (path.equals("/health")) {
            write(out, "200 OK", attempt, "", new byte[0]);
        } else if (path.equals("/report")) {
            byte[] report = Json.write(Json.object("stage", "combined", "models", models, "busy", false, "seq", 1,
                "waiting", 0, "running", 0, "kvUsed", 0, "kvTotal", 200_000, "handles", 0))
                .getBytes(StandardCharsets.UTF_8);
            write(out, "200 OK", attempt, "Content-Type: application/json\r\n", report);
        } else if (attempt == null) {
            write(out, "400 Bad Request", null, "Not-Executed: 1\r\n", new byte[0]);
        } else if (!slots.tryAcquire()) {
            write(out, "503 Service Unavailable", attempt, "Not-Executed: 1\r\n", new byte[0]);
        } else {
            try {
                record.add("replica " + id + " runs " + attempt + " " + head.first + " bytes=" + body.length
                    + " tenant=" + head.get("tenant") + " salt=" + head.get("cache-salt"));
                byte[] result = work.run(head, body);
                String type = head.get("prompt-prefix") == null ? "application/octet-stream" : "text/event-stream";
                String weights = head.get("model") == null ? "" : "Weight-Versions: 1\r\n";
                write(out, "200 OK", attempt, "Server-Stamp: " + id + "." + attempt + "\r\nContent-Type: " + type
                    + "\r\n" + weights, result);
                record.add("replica " + id + " answered " + attempt + " bytes=" + result.length);
            } finally {
                slots.release();
            }
        }
    }

    private void write(OutputStream out, String status, String attempt, String headers, byte[] body)
        throws IOException {
        String echo = attempt == null ? "" : "Attempt-Id: " + attempt + "\r\n";
        String head = "HTTP/1.1 " + status + "\r\n" + echo + "Instance-Id: " + id + "\r\nKeep-Alive: timeout=2\r\n"
            + headers + "Content-Length: " + body.length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }
}
