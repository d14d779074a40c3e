import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store, as PROTOCOL.md describes it. */
class Store extends Listener {
    private record Change(String kind, Map<String, Object> object, boolean deleted) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final int pageItems;
    private long revision = 100;

    /** How long each answer takes. */
    volatile long answerMs = 4;

    Store(int pageItems) throws IOException {
        this.pageItems = pageItems;
    }

    /** Called after a page of a list was read, before it is sent. */
    void paged(String kind, String after, boolean truncated, long asOf) {}

    synchronized long put(String kind, String name, Object spec) {
        Map<String, Object> before = kind(kind).get(name);
        if (before != null && before.get("spec").equals(spec)) return revision;
        long created = before == null ? revision + 1 : (Long) Json.object(before.get("metadata")).get("createdRev");
        return store(kind, name, spec, before == null ? null : before.get("status"), created);
    }

    synchronized long delete(String kind, String name) {
        Map<String, Object> gone = kind(kind).remove(name);
        if (gone == null) return revision;
        revision++;
        history.add(new Change(kind, object(name, gone.get("spec"), gone.get("status"), revision), true));
        notifyAll();
        return revision;
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, any -> new TreeMap<>());
    }

    private long store(String kind, String name, Object spec, Object status, long created) {
        revision++;
        Map<String, Object> object = object(name, spec, status, created);
        kind(kind).put(name, object);
        history.add(new Change(kind, object, false));
        notifyAll();
        return revision;
    }

    private Map<String, Object> object(String name, Object spec, Object status, long created) {
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", revision);
        metadata.put("createdRev", created);
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", spec);
        object.put("status", status);
        return object;
    }

    @Override
    void serve(Socket channel) throws Exception {
        var in = new java.io.BufferedInputStream(channel.getInputStream());
        for (Message call = Message.read(in); call != null; call = Message.read(in)) {
            String[] line = call.first.split(" ");
            URI uri = URI.create(line[1]);
            String[] path = uri.getPath().split("/");
            Map<String, String> query = query(uri.getRawQuery());
            String kind = path[2];
            String name = path.length > 3 ? path[3] : null;
            Object[] answer = switch (line[0]) {
                case "GET" -> name != null ? read(kind, name)
                    : query.containsKey("watch") ? watch(kind, query) : list(kind, query.get("after"));
                case "POST" -> write(kind, null, false, call);
                case "PUT" -> write(kind, name, path.length > 4, call);
                default -> remove(kind, name, query.get("revision"));
            };
            Thread.sleep(answerMs);
            send(channel.getOutputStream(), (Integer) answer[0], answer[1]);
        }
    }

    private synchronized Object[] read(String kind, String name) {
        Map<String, Object> object = kind(kind).get(name);
        return object == null ? new Object[] {404, Map.of()} : new Object[] {200, object};
    }

    private Object[] list(String kind, String after) {
        List<Object> items = new ArrayList<>();
        boolean truncated;
        long asOf;
        synchronized (this) {
            var rest = after == null ? kind(kind) : kind(kind).tailMap(after, false);
            rest.values().stream().limit(pageItems).forEach(items::add);
            truncated = rest.size() > pageItems;
            asOf = revision;
        }
        paged(kind, after, truncated, asOf);
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("items", items);
        page.put("truncated", truncated);
        page.put("asOf", asOf);
        return new Object[] {200, page};
    }

    private synchronized Object[] watch(String kind, Map<String, String> query) throws InterruptedException {
        long from = Long.parseLong(query.get("watch"));
        long end = System.currentTimeMillis() + Math.min(30_000, Long.parseLong(query.getOrDefault("waitMs", "0")));
        List<Object> events = new ArrayList<>();
        while (true) {
            for (Change change : history) {
                if (change.kind.equals(kind) && revisionOf(change.object) > from) {
                    events.add(Map.of("object", change.object, "deleted", change.deleted));
                }
            }
            long left = end - System.currentTimeMillis();
            if (!events.isEmpty() || left <= 0) break;
            wait(left);
        }
        return new Object[] {200, Map.of("events", events, "asOf", revision)};
    }

    private synchronized Object[] write(String kind, String path, boolean status, Message call) {
        Map<String, Object> body = Json.object(Json.parse(new String(call.body, StandardCharsets.UTF_8)));
        Map<String, Object> metadata = Json.object(body.get("metadata"));
        String name = path == null ? (String) metadata.get("name") : path;
        Map<String, Object> present = kind(kind).get(name);
        if (path == null && present != null) return new Object[] {409, present};
        if (path != null && present == null) return new Object[] {404, Map.of()};
        Object condition = metadata == null ? null : metadata.get("revision");
        if (path != null && condition != null && (Long) condition != revisionOf(present)) return new Object[] {409, present};
        Object spec = status ? present.get("spec") : body.get("spec");
        Object nextStatus = status ? body.get("status") : present == null ? null : present.get("status");
        boolean same = present != null && java.util.Objects.equals(spec, present.get("spec"))
            && java.util.Objects.equals(nextStatus, present.get("status"));
        if (!same) {
            long created = present == null ? revision + 1 : (Long) Json.object(present.get("metadata")).get("createdRev");
            store(kind, name, spec, nextStatus, created);
        }
        return new Object[] {path == null ? 201 : 200, kind(kind).get(name)};
    }

    private synchronized Object[] remove(String kind, String name, String condition) {
        Map<String, Object> present = kind(kind).get(name);
        if (present == null) return new Object[] {404, Map.of()};
        if (condition != null && Long.parseLong(condition) != revisionOf(present)) return new Object[] {409, present};
        delete(kind, name);
        return new Object[] {200, present};
    }

    private static long revisionOf(Map<String, Object> object) {
        return (Long) Json.object(object.get("metadata")).get("revision");
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw == null) return query;
        for (String part : raw.split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], pair.length > 1 ? URLDecoder.decode(pair[1], StandardCharsets.UTF_8) : "");
        }
        return query;
    }

    private static void send(OutputStream out, int status, Object body) throws IOException {
        byte[] bytes = Json.text(body).getBytes(StandardCharsets.UTF_8);
        out.write(("HTTP/1.1 " + status + " -\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
            + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
    }
}
