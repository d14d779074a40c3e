import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** A replica of a plain service. It runs what its behaviour says, and records it. */
class Replica implements AutoCloseable {
    /** How a request is answered. */
    interface Behaviour {
        void run(Replica replica, Message request, Socket socket, OutputStream out) throws Exception;
    }

    final String id;
    final String service;
    final Record record;
    private final Listener listener;
    volatile Behaviour behaviour = (replica, request, socket, out) -> replica.reply(request, out, 200, "", "answer to " + request.header("Attempt-Id"));

    Replica(String id, String service, String host, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.record = record;
        listener = new Listener(host, 0, this::serve);
    }

    String address() {
        return listener.address();
    }

    /** Returns the entry that the replica writes to the store. */
    Map<String, Object> entry(String zone, int seq) {
        return Json.of(
            "service", service, "address", address(), "zone", zone, "version", "v1", "slots", 6L, "state", "ready",
            "coldLeftMs", 0L, "seq", (long) seq, "born", 1_790_000_000_000L);
    }

    /** Serves one channel until it ends. */
    void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        while (true) {
            Message request = Message.read(in);
            if (request == null) return;
            String expected = request.header("Expect-Instance");
            String attempt = request.header("Attempt-Id");
            if (request.path().equals("/health")) {
                reply(request, out, 200, "Instance-Id: " + id + "\r\n", "");
            } else if (expected != null && !expected.equals(id)) {
                record.line("replica " + id + " rejects " + attempt + " with 421");
                reply(request, out, 421, "Instance-Id: " + id + "\r\nNot-Executed: 1\r\n", "");
            } else if (attempt == null) {
                reply(request, out, 400, "Not-Executed: 1\r\n", "");
            } else {
                record.line("replica " + id + " (" + service + ") runs " + attempt + " " + request.first);
                behaviour.run(this, request, socket, out);
            }
        }
    }

    /** Sends a whole response. */
    void reply(Message request, OutputStream out, int status, String headers, String body) throws IOException {
        reply(request, out, status, headers, body.getBytes(StandardCharsets.UTF_8));
    }

    void reply(Message request, OutputStream out, int status, String headers, byte[] body) throws IOException {
        String attempt = request.header("Attempt-Id");
        String head = "HTTP/1.1 " + status + " Status\r\n" + (attempt == null ? "" : "Attempt-Id: " + attempt + "\r\n")
            + (status == 421 || status == 503 ? "" : "Server-Stamp: stamp." + attempt + "\r\n")
            + headers + "Keep-Alive: timeout=10\r\nContent-Length: " + body.length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    static Object plainService(String name) {
        return Json.of("name", name, "healthPath", "/health", "maxConnections", 110L, "protocol", "h1", "tls", false);
    }

    static Object route(String name, String host, String prefix, String kind, String service) {
        return Json.of(
            "name", name, "host", host, "pathPrefix", prefix, "kind", kind, "timeoutMs", 2000L, "targetLatencyMs", 300L,
            "priority", 2L, "service", service, "maxAttempts", kind.equals("safe") ? 2L : 1L, "public", false);
    }

    static Map<String, Object> manifest(long version, List<Object> routes, List<Object> services, long maxHeaderBytes) {
        Object limits = Json.of(
            "maxHeaderBytes", maxHeaderBytes, "maxBodyBytes", 4_194_304L, "headerTimeoutMs", 3000L, "idleTimeoutMs", 15_000L);
        Object tenant = Json.of(
            "name", "tenant-a", "apiKeys", List.of("key-of-tenant-a-0001"), "priority", 1L, "unit", "tokens",
            "plainTokens", 200L, "isolated", false, "ratePerS", 1_000_000L, "burst", 1_000_000L);
        return Json.of("version", version, "routes", routes, "services", services, "limits", limits, "tenants", List.of(tenant));
    }
}
