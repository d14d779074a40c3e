import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: objects by kind and name, with revisions, conditions and watches. */
final class Store implements AutoCloseable {
    private static final class Event {
        final long revision;
        final String kind;
        final Object object;
        final boolean isDeleted;

        Event(long revision, String kind, Object object, boolean isDeleted) {
            this.revision = revision;
            this.kind = kind;
            this.object = object;
            this.isDeleted = isDeleted;
        }
    }

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;
    private final Listener listener;

    /** Whether calls get no answer, now or later; a channel on which an answer was lost returns nothing further. */
    volatile boolean isSilent;

    Store(String host) throws IOException {
        listener = new Listener(host, 0, this::serve);
    }

    String address() {
        return listener.address();
    }

    /** Writes an object as the operator or a replica does; returns the revision. */
    synchronized long put(String kind, String name, Object spec) {
        Map<String, Object> known = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
        Object created = known == null ? revision + 1 : Json.object(known.get("metadata")).get("createdRev");
        return store(kind, name, spec, known == null ? null : known.get("status"), created);
    }

    synchronized void delete(String kind, String name) {
        Map<String, Object> known = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
        if (known == null) return;
        revision++;
        events.add(new Event(revision, kind, object(name, known.get("spec"), known.get("status"), 0), true));
        notifyAll();
    }

    private long store(String kind, String name, Object spec, Object status, Object created) {
        revision++;
        Map<String, Object> object = object(name, spec, status, created);
        kinds.get(kind).put(name, object);
        events.add(new Event(revision, kind, object, false));
        notifyAll();
        return revision;
    }

    private Map<String, Object> object(String name, Object spec, Object status, Object created) {
        Object metadata = Json.of(
            "name", name, "revision", revision, "createdRev", created, "finalizers", List.of(), "deleting", false);
        return Json.of("metadata", metadata, "spec", spec, "status", status);
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
        while (true) {
            Message request = Message.read(in);
            if (request == null) return;
            boolean isLost = isSilent;
            Object[] answer = answer(request);
            if (isLost || isSilent) {
                in.transferTo(OutputStream.nullOutputStream());
                return;
            }
            byte[] body = Json.write(answer[1]).getBytes(StandardCharsets.UTF_8);
            String head = "HTTP/1.1 " + answer[0] + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length + "\r\n\r\n";
            byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] whole = new byte[start.length + body.length];
            System.arraycopy(start, 0, whole, 0, start.length);
            System.arraycopy(body, 0, whole, start.length, body.length);
            out.write(whole);
            out.flush();
        }
    }

    private Object[] answer(Message request) throws InterruptedException {
        String[] target = request.path().split("\\?", 2);
        Map<String, String> query = new LinkedHashMap<>();
        for (String pair : target.length > 1 ? target[1].split("&") : new String[0]) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
        }
        String[] path = target[0].split("/");
        String kind = path[2];
        String name = path.length > 3 ? URLDecoder.decode(path[3], StandardCharsets.UTF_8) : null;
        String method = request.first.split(" ")[0];
        if (method.equals("GET")) {
            if (query.containsKey("watch")) {
                return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("waitMs")));
            }
            return get(kind, name, query.get("after"));
        }
        Map<String, Object> sent = request.body.length == 0 ? Map.of() : Json.object(Json.parse(request.text()));
        return change(method, kind, name, path.length > 4, sent, query.get("revision"));
    }

    private synchronized Object[] get(String kind, String name, String after) {
        TreeMap<String, Map<String, Object>> objects = kinds.getOrDefault(kind, new TreeMap<>());
        if (name != null) return objects.containsKey(name) ? ok(objects.get(name)) : new Object[] {404, Map.of()};
        Object items = new ArrayList<>((after == null ? objects : objects.tailMap(after, false)).values());
        return ok(Json.of("items", items, "truncated", false, "asOf", revision));
    }

    private synchronized Object[] watch(String kind, long after, long waitMs) throws InterruptedException {
        long end = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Event event : events) {
                if (event.revision > after && event.kind.equals(kind)) {
                    found.add(Json.of("object", event.object, "deleted", event.isDeleted));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) return ok(Json.of("events", found, "asOf", revision));
            wait(left);
        }
    }

    private synchronized Object[] change(
        String method, String kind, String path, boolean isStatus, Map<String, Object> sent, String condition) {
        Map<String, Object> metadata = sent.get("metadata") == null ? Map.of() : Json.object(sent.get("metadata"));
        String name = path == null ? (String) metadata.get("name") : path;
        TreeMap<String, Map<String, Object>> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
        Map<String, Object> known = objects.get(name);
        if (method.equals("POST")) {
            if (known != null) return new Object[] {409, known};
            store(kind, name, sent.get("spec"), null, revision + 1);
            return new Object[] {201, objects.get(name)};
        }
        if (known == null) return new Object[] {404, Map.of()};
        Object expected = condition != null ? (Object) Long.valueOf(condition) : metadata.get("revision");
        Map<String, Object> knownMetadata = Json.object(known.get("metadata"));
        if (expected != null && !expected.equals(knownMetadata.get("revision"))) return new Object[] {409, known};
        if (method.equals("DELETE")) {
            delete(kind, name);
            return ok(Map.of());
        }
        Object spec = isStatus ? known.get("spec") : sent.get("spec");
        Object status = isStatus ? sent.get("status") : known.get("status");
        boolean isSame = Json.write(spec).equals(Json.write(known.get("spec")))
            && Json.write(status).equals(Json.write(known.get("status")));
        if (!isSame) store(kind, name, spec, status, knownMetadata.get("createdRev"));
        return ok(objects.get(name));
    }

    private static Object[] ok(Object body) {
        return new Object[] {200, body};
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
