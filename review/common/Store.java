package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store: objects by kind and name with revisions, lists and watches (PROTOCOL.md, metadata store). */
public final class Store {
    private record Event(long revision, String kind, Map<String, Object> object, boolean deleted) { }

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;
    private final HttpServer server;

    public Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(work, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/objects/", this::handle);
        server.start();
    }

    public String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an object as the operator or a replica does; returns its revision. */
    public synchronized long put(String kind, String name, Object spec) {
        Map<String, Object> before = kind(kind).get(name);
        if (before != null && Json.write(before.get("spec")).equals(Json.write(spec))) return revision;
        return store(kind, name, spec);
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    private long store(String kind, String name, Object spec) {
        Map<String, Object> before = kind(kind).get(name);
        revision++;
        long created = before == null ? revision : (Long) ((Map<?, ?>) before.get("metadata")).get("createdRev");
        Map<String, Object> object = Json.object(
            "metadata", Json.object("name", name, "revision", revision, "createdRev", created,
                "finalizers", new ArrayList<>(), "deleting", false),
            "spec", spec, "status", null);
        kind(kind).put(name, object);
        history.add(new Event(revision, kind, object, false));
        notifyAll();
        return revision;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String[] path = exchange.getRequestURI().getPath().substring("/objects/".length()).split("/");
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getQuery();
        if (text != null) for (String pair : text.split("&")) query.put(pair.split("=")[0], pair.split("=", 2)[1]);
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Object[] answer;
        try {
            answer = answer(exchange.getRequestMethod(), path, query, body);
        } catch (InterruptedException stopped) {
            answer = new Object[] {503, Json.object()};
        }
        byte[] bytes = Json.write(answer[1]).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders((Integer) answer[0], bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @SuppressWarnings("unchecked")
    private synchronized Object[] answer(String method, String[] path, Map<String, String> query, String body)
        throws InterruptedException {
        String kind = path[0];
        String name = path.length > 1 ? path[1] : null;
        if (method.equals("GET") && name == null) {
            return query.containsKey("watch") ? watch(kind, query) : new Object[] {200, Json.object(
                "items", new ArrayList<>(kind(kind).values()), "truncated", false, "asOf", revision)};
        }
        Map<String, Object> sent = body.isEmpty() ? Map.of() : (Map<String, Object>) Json.parse(body);
        Map<String, Object> metadata = (Map<String, Object>) sent.getOrDefault("metadata", Map.of());
        if (method.equals("POST")) name = (String) metadata.get("name");
        Map<String, Object> present = kind(kind).get(name);
        if (method.equals("POST")) {
            if (present != null) return new Object[] {409, present};
            store(kind, name, sent.get("spec"));
            return new Object[] {201, kind(kind).get(name)};
        }
        if (present == null) return new Object[] {404, Json.object()};
        if (method.equals("GET")) return new Object[] {200, present};
        Object wanted = query.containsKey("revision") ? Long.valueOf(query.get("revision")) : metadata.get("revision");
        Object held = ((Map<?, ?>) present.get("metadata")).get("revision");
        if (wanted != null && !wanted.equals(held)) return new Object[] {409, present};
        if (method.equals("DELETE")) {
            kind(kind).remove(name);
            revision++;
            Map<String, Object> gone = new java.util.LinkedHashMap<>(present);
            Map<String, Object> last = new java.util.LinkedHashMap<>((Map<String, Object>) present.get("metadata"));
            last.put("revision", revision);
            gone.put("metadata", last);
            history.add(new Event(revision, kind, gone, true));
            notifyAll();
            return new Object[] {200, gone};
        }
        if (Json.write(present.get("spec")).equals(Json.write(sent.get("spec")))) return new Object[] {200, present};
        store(kind, name, sent.get("spec"));
        return new Object[] {200, kind(kind).get(name)};
    }

    private Object[] watch(String kind, Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("watch"));
        long until = System.currentTimeMillis() + Math.min(30_000, Long.parseLong(query.getOrDefault("waitMs", "0")));
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (event.revision > after && event.kind.equals(kind)) {
                    events.add(Json.object("deleted", event.deleted, "object", event.object));
                }
            }
            long left = until - System.currentTimeMillis();
            if (!events.isEmpty() || left <= 0) {
                return new Object[] {200, Json.object("events", events, "asOf", revision)};
            }
            wait(left);
        }
    }
}
