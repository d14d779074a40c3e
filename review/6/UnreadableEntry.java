import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry of another writer, one field of which is of another type, lies in the list of replicas for some seconds. In
 * that time all gateways are killed and started again.
 */
final class UnreadableEntry {
    private static final int NESTED = 2_000;
    private static final long BEAT_MS = 1_200;
    private static final long DOWN_MS = 1_500;
    private static final long RECOVER_MS = 12_000;
    private static final long MEASURED_MS = 8_000;
    private static final int PER_SECOND = 20;

    /** Requests of one span of the script. */
    private static final class Span {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();

        boolean isServed() {
            return served.get() * 4 >= sent.get();
        }

        @Override
        public String toString() {
            return served + " of " + sent + " served";
        }
    }

    private static volatile Span span = new Span();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case-6");
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
        Store store = new Store(500);
        store.begin();
        open.add(store);
        store.put("config", "main", configuration());
        for (int number = 0; number < 3; number++) {
            Replica replica = new Replica("i-" + number, "desk", store, record);
            replica.workMs = 40;
            replica.begin();
            replica.register();
            open.add(replica);
        }
        List<Gateway> gateways = List.of(new Gateway("g1", folder), new Gateway("g2", folder));
        for (Gateway gateway : gateways) {
            gateway.configure(store.address(), gateways, true, true);
            gateway.start();
            open.add(gateway);
        }
        for (Gateway gateway : gateways) if (!gateway.awaitReady(20_000)) return 2;
        ScheduledExecutorService clients = Executors.newScheduledThreadPool(64);
        open.add(() -> clients.shutdownNow());
        traffic(clients, gateways, record);

        Span before = span;
        Thread.sleep(4_000);
        AtomicBoolean writes = new AtomicBoolean(trouble);
        if (trouble) Listener.thread(() -> otherWriter(store, writes, record));
        Thread.sleep(2_000);
        span = new Span();
        record.line("before the final fault: %s", before);
        record.line("all gateways are killed");
        for (Gateway gateway : gateways) gateway.kill();
        Thread.sleep(DOWN_MS);
        for (Gateway gateway : gateways) {
            gateway.configure(store.address(), gateways, true, false);
            gateway.start();
        }
        record.line("all gateways are started");
        Thread.sleep(3_000);
        writes.set(false);
        Thread.sleep(RECOVER_MS - 3_000);
        Span after = new Span();
        span = after;
        Thread.sleep(MEASURED_MS);
        span = new Span();
        Thread.sleep(2_500);
        for (Gateway gateway : gateways) {
            record.line("%s: running %s, ready %s", gateway.name, gateway.isRunning(), gateway.isReady());
        }
        record.line("sent later than recoverS after the gateways are back: %s", after);
        if (!before.isServed() || before.sent.get() < 50 || after.sent.get() < 50) return 2;
        return after.isServed() ? 0 : 1;
    }

    /** Writes an entry every {@code heartbeatMs}; the platform removes it after three intervals of silence. */
    private static void otherWriter(Store store, AtomicBoolean writes, Record record) throws InterruptedException {
        Object nested = 0L;
        for (int level = 0; level < NESTED; level++) nested = List.of(nested);
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", "desk");
        entry.put("address", "127.0.0.1:9");
        entry.put("zone", "z1");
        entry.put("slots", nested);
        entry.put("state", "ready");
        record.line("another writer: an entry of %d bytes whose 'slots' is of another type", Json.text(entry).length());
        for (long seq = 1; writes.get(); seq++) {
            entry.put("seq", seq);
            store.put("servers", "other-1", new LinkedHashMap<>(entry));
            Thread.sleep(BEAT_MS);
        }
        Thread.sleep(2 * BEAT_MS);
        store.delete("servers", "other-1");
        record.line("the platform removes the entry");
    }

    private static void traffic(ScheduledExecutorService clients, List<Gateway> gateways, Record record) {
        AtomicInteger numbers = new AtomicInteger();
        clients.scheduleAtFixedRate(() -> {
            int number = numbers.incrementAndGet();
            Gateway gateway = gateways.get(number % gateways.size());
            Span own = span;
            own.sent.incrementAndGet();
            String attempt = "c-" + number;
            clients.execute(() -> {
                Message answer = Caller.exchange(gateway.callers, "POST", "/trades/2f", "desk.example", attempt, 1_000, "", "x");
                boolean served = answer != null && answer.status() == 200
                    && new String(answer.body, StandardCharsets.UTF_8).equals("result of " + attempt);
                if (served) own.served.incrementAndGet();
                record.line("client: %s at %s gets %s", attempt, gateway.name, answer == null ? "no answer" : answer.first);
            });
        }, 0, 1_000_000 / PER_SECOND, TimeUnit.MICROSECONDS);
    }

    private static Map<String, Object> configuration() {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "r-trades");
        route.put("host", "desk.example");
        route.put("pathPrefix", "/trades/");
        route.put("kind", "unsafe");
        route.put("timeoutMs", 1_000L);
        route.put("targetLatencyMs", 193L);
        route.put("priority", 2L);
        route.put("service", "desk");
        route.put("maxAttempts", 1L);
        route.put("public", true);
        route.put("sticky", false);
        route.put("resumable", false);
        return Map.of("version", 7L, "routes", List.of(route), "services", List.of(Map.of("name", "desk", "healthPath",
            "/health", "maxConnections", 110L)), "limits", Map.of("maxHeaderBytes", 16_384L, "maxBodyBytes", 4_194_304L,
            "headerTimeoutMs", 3_000L, "idleTimeoutMs", 15_000L));
    }
}
