import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway is restarted while replicas are emptied and taken away. They say so to the store after it has served the
 * first page of the list of replicas to that gateway, and before the second one.
 */
final class DrainBetweenPages {
    private static final int REPLICAS = 63;
    private static final int LEAVING = 8;
    private static final int PAGE = 50;
    private static final long DRAIN_MS = 3_000;
    private static final long CONTACT_MS = 4_000;
    private static final long VERSION_MS = 8_000;
    private static final long LINGER_MS = 3_200;
    private static final long WORK_MS = 1_500;
    private static final int PER_SECOND = 15;

    private static volatile Runnable onFirstPage;
    private static volatile long startedAt;
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger lateLost = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger notAnswered = new AtomicInteger();

    /** A replica of language models: its answer is a stream of events. */
    private static final class ModelReplica extends Replica {
        ModelReplica(String id, Store store, Record record) throws java.io.IOException {
            super(id, "models", store, record);
            model = "m0";
        }

        @Override
        void run(Message request, String attempt, OutputStream out) throws Exception {
            long begun = record.now();
            long since = drainsSince < 0 ? -1 : begun - drainsSince;
            boolean isLate = since > DRAIN_MS && attempt.startsWith("g1-") && begun - startedAt > CONTACT_MS;
            record.line("replica %s runs %s%s", id, attempt, since < 0 ? "" : ", " + since + " ms after the ack that it drains");
            if (isLate) late.incrementAndGet();
            out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: " + id + "." + attempt
                + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                + (draining ? "Server-Leaving: 1\r\nConnection: close\r\n" : "Keep-Alive: timeout=10\r\n")
                + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            int events = 10;
            for (int event = 1; event <= events; event++) {
                Thread.sleep(WORK_MS / events);
                if (ended) {
                    record.line("replica %s: %s is cut by its end", id, attempt);
                    if (isLate) lateLost.incrementAndGet();
                    return;
                }
                String text = "id: " + event + "\ndata: token " + event + " of " + attempt + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case-8");
        List<AutoCloseable> open = new ArrayList<>();
        int result = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            result = play(trouble, folder, open, record);
            record.line("exit status %d", result);
        } catch (Exception failed) {
            failed.printStackTrace();
        } finally {
            for (AutoCloseable part : open) part.close();
        }
        System.exit(result);
    }

    private static int play(boolean trouble, Path folder, List<AutoCloseable> open, Record record) throws Exception {
        Store store = new Store(PAGE) {
            @Override
            void paged(String kind, String after, boolean truncated, long asOf) {
                Runnable next = onFirstPage;
                if (next == null || !kind.equals("servers") || after != null || !truncated) return;
                onFirstPage = null;
                record.line("store: first page of the replicas, as of %d", asOf);
                next.run();
            }
        };
        store.begin();
        open.add(store);
        store.put("config", "main", configuration());
        store.put("versions", "m0", Map.of("model", "m0", "version", 1L));
        List<ModelReplica> replicas = new ArrayList<>();
        for (int number = 0; number < REPLICAS; number++) {
            ModelReplica replica = new ModelReplica(String.format("i-%03d", number), store, record);
            replica.begin();
            replica.register();
            replicas.add(replica);
            open.add(replica);
        }
        Gateway first = new Gateway("g1", folder);
        Gateway second = new Gateway("g2", folder);
        for (Gateway gateway : List.of(first, second)) {
            gateway.contactMs = CONTACT_MS;
            gateway.versionMs = VERSION_MS;
            gateway.configure(store.address(), List.of(first, second), true, true);
            gateway.start();
            open.add(gateway);
        }
        for (Gateway gateway : List.of(first, second)) {
            if (!gateway.awaitReady(20_000)) return 2;
        }
        ScheduledExecutorService clients = Executors.newScheduledThreadPool(64);
        open.add(() -> clients.shutdownNow());
        AtomicInteger sent = new AtomicInteger();
        traffic(clients, second, "g2-", sent, record);
        Thread.sleep(4_000);

        record.line("SIGTERM to g1");
        first.stop();
        first.configure(store.address(), List.of(first, second), true, false);
        List<ModelReplica> leaving = new ArrayList<>(replicas);
        java.util.Collections.shuffle(leaving, new Random(59));
        leaving = leaving.subList(0, LEAVING);
        List<ModelReplica> chosen = leaving;
        Runnable scaleIn = () -> chosen.forEach(Replica::drain);
        startedAt = record.now();
        record.line("g1 starts");
        if (trouble) onFirstPage = scaleIn;
        first.start();
        if (!first.awaitReady(20_000)) return 2;
        record.line("g1 is ready");
        if (!trouble) {
            Thread.sleep(500);
            scaleIn.run();
        }
        if (chosen.get(0).drainsSince < 0) return 2;
        traffic(clients, first, "g1-", sent, record);
        long end = chosen.get(0).drainsSince + DRAIN_MS + LINGER_MS;
        Thread.sleep(Math.max(0, end - record.now()));
        for (ModelReplica replica : chosen) replica.end();
        Thread.sleep(3_000);
        record.line("sent %d, answered whole %d, not answered whole %d", sent.get(), answered.get(), notAnswered.get());
        record.line("requests that g1, in touch, sent to a replica later than drainMs after the ack that it drains: %d, "
            + "of these cut by the replica's end: %d", late.get(), lateLost.get());
        if (answered.get() < 50) return 2;
        return late.get() > 0 ? 1 : 0;
    }

    private static void traffic(ScheduledExecutorService clients, Gateway gateway, String prefix, AtomicInteger sent,
        Record record) {
        Random random = new Random(prefix.hashCode());
        clients.scheduleAtFixedRate(() -> {
            int number = sent.incrementAndGet();
            int thing = random.nextInt(394);
            String attempt = prefix + number;
            String more = "Model: m0\r\nToken-Counts: 2368,10\r\nPrompt-Prefix: " + String.format("a%05x:568,b%05x:1800", thing, number)
                + "\r\n";
            clients.execute(() -> {
                Message answer = Caller.exchange(gateway.callers, "POST", "/prompts/2f", "models.example", attempt, 12_000, more,
                    "prompt " + number);
                boolean whole = answer != null && answer.status() == 200
                    && new String(answer.body, StandardCharsets.UTF_8).contains("token 10 of " + attempt);
                (whole ? answered : notAnswered).incrementAndGet();
                if (!whole) record.line("client: %s gets %s", attempt, answer == null ? "no whole answer" : answer.first);
            });
        }, 0, 1_000_000 / PER_SECOND, TimeUnit.MICROSECONDS);
    }

    private static Map<String, Object> configuration() {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "r-prompts");
        route.put("host", "models.example");
        route.put("pathPrefix", "/prompts/");
        route.put("kind", "streaming");
        route.put("timeoutMs", 12_000L);
        route.put("targetLatencyMs", 800L);
        route.put("priority", 0L);
        route.put("service", "models");
        route.put("maxAttempts", 1L);
        route.put("public", true);
        route.put("sticky", true);
        route.put("resumable", false);
        route.put("gapTargetMs", 400L);
        return Map.of("version", 7L, "routes", List.of(route), "services", List.of(Map.of("name", "models", "healthPath",
            "/health", "maxConnections", 240L, "engine", Map.of("slots", 32L, "kvCapacityTokens", 211_217L, "models",
            List.of(Map.of("name", "m0"))))), "limits", Map.of("maxHeaderBytes", 16_384L, "maxBodyBytes", 4_194_304L,
            "headerTimeoutMs", 3_000L, "idleTimeoutMs", 15_000L));
    }
}
