import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in for a replica, as PROTOCOL.md describes it: registers itself, drains, and says so in all its answers. */
class Replica extends Listener {
    final String id;
    final String service;
    protected final Store store;
    protected final Record record;
    private final long born = System.currentTimeMillis();
    private final AtomicInteger running = new AtomicInteger();

    /** The model that it serves, null for none. */
    volatile String model;

    /** How long a request takes. */
    volatile long workMs = 150;
    volatile boolean draining;
    volatile boolean ended;

    /** When the store has accepted that it drains, in milliseconds of the record; negative before. */
    volatile long drainsSince = -1;

    Replica(String id, String service, Store store, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.store = store;
        this.record = record;
    }

    void register() {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", address());
        entry.put("zone", "z1");
        entry.put("version", "v1");
        entry.put("slots", 6L);
        entry.put("state", draining ? "draining" : "ready");
        entry.put("coldLeftMs", 0L);
        if (model != null) entry.put("models", List.of(Map.of("name", model, "version", 1L, "adapters", List.of())));
        entry.put("seq", draining ? 5L : 4L);
        entry.put("born", born);
        store.put("servers", id, entry);
    }

    /** Reports that it drains; the time is that of the store's ack. */
    void drain() {
        draining = true;
        register();
        drainsSince = record.now();
        record.line("replica %s: the store has accepted that it drains", id);
    }

    /** Ends, with what still runs. */
    void end() throws IOException {
        ended = true;
        record.line("replica %s: ends, with %d requests at work", id, running.get());
        store.delete("servers", id);
        close();
    }

    @Override
    void serve(Socket channel) throws Exception {
        var in = new java.io.BufferedInputStream(channel.getInputStream());
        OutputStream out = channel.getOutputStream();
        for (Message request = Message.read(in); request != null; request = Message.read(in)) {
            answer(request, out);
        }
    }

    private void answer(Message request, OutputStream out) throws Exception {
        String attempt = request.header("Attempt-Id");
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            send(out, 421, attempt, "Instance-Id: " + id + "\r\n", "");
        } else if (request.first.startsWith("GET /report ")) {
            send(out, 200, null, "Content-Type: application/json\r\n", Json.text(Map.of("stage", "combined", "models",
                List.of(), "busy", false, "seq", 0, "waiting", 0, "running", running.get())));
        } else if (attempt == null) {
            send(out, 400, null, "Not-Executed: 1\r\n", "");
        } else {
            run(request, attempt, out);
        }
    }

    /** Runs a request of a caller. */
    void run(Message request, String attempt, OutputStream out) throws Exception {
        long since = drainsSince < 0 ? -1 : record.now() - drainsSince;
        record.line("replica %s: runs %s%s", id, attempt, since < 0 ? "" : ", " + since + " ms after the ack that it drains");
        ran(attempt, since);
        running.incrementAndGet();
        try {
            Thread.sleep(workMs);
        } finally {
            running.decrementAndGet();
        }
        if (ended) return;
        send(out, 200, attempt, "Server-Stamp: " + id + "." + attempt + "\r\n", "result of " + attempt);
    }

    /** Called when a request begins, {@code since} milliseconds after the ack that this replica drains. */
    void ran(String attempt, long since) {}

    final void send(OutputStream out, int status, String attempt, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " -\r\n" + (attempt == null ? "" : "Attempt-Id: " + attempt + "\r\n") + headers
            + (draining ? "Server-Leaving: 1\r\nConnection: close\r\n" : "Keep-Alive: timeout=10\r\n")
            + "Content-Length: " + bytes.length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
    }
}
