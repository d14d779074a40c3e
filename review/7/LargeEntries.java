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
 * Two entries of another writer, one field of which is of another type, lie in the list of replicas and are written again
 * at each beat. A gateway that ends by itself is started again, as the platform does.
 */
final class LargeEntries {
    private static final int WRITERS = 2;
    private static final int VALUE_BYTES = 1_048_576;
    private static final long BEAT_MS = 1_200;
    private static final long RESTART_MS = 1_000;
    private static final long WRITTEN_MS = 30_000;
    private static final int ENDS = 3;
    private static final int MACHINES = 2;
    private static final int PER_SECOND = 20;

    /** Requests of one span of the script. */
    private static final class Span {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();

        @Override
        public String toString() {
            return served + " of " + sent + " served";
        }
    }

    private static volatile Span span = new Span();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case-7");
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
        span = new Span();
        AtomicBoolean writes = new AtomicBoolean(trouble);
        for (int number = 0; number < WRITERS && trouble; number++) {
            String name = "other-" + number;
            Listener.thread(() -> otherWriter(store, name, writes, record));
        }
        int[] ends = new int[gateways.size()];
        long end = record.now() + WRITTEN_MS;
        while (record.now() < end) {
            for (int number = 0; number < ends.length; number++) {
                Gateway gateway = gateways.get(number);
                if (gateway.isRunning()) continue;
                ends[number]++;
                record.line("%s has ended by itself, for the %d. time", gateway.name, ends[number]);
                gateway.configure(store.address(), gateways, true, false);
                Listener.thread(() -> {
                    Thread.sleep(RESTART_MS);
                    gateway.start();
                });
                Thread.sleep(RESTART_MS + 200);
            }
            Thread.sleep(50);
        }
        writes.set(false);
        record.line("before the entries: %s; with them: %s", before, span);
        int machines = 0;
        for (int number : ends) if (number >= ENDS) machines++;
        record.line("gateways that ended by themselves three times or more: %d of %d", machines, ends.length);
        if (before.served.get() < 50) return 2;
        return machines >= MACHINES ? 1 : 0;
    }

    /** Writes an entry of at most {@code valueBytes} every {@code heartbeatMs}. */
    private static void otherWriter(Store store, String name, AtomicBoolean writes, Record record) throws InterruptedException {
        List<Object> numbers = new ArrayList<>();
        for (int number = 0; number < (VALUE_BYTES - 200) / 2; number++) numbers.add(0L);
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", "desk");
        entry.put("address", "127.0.0.1:9");
        entry.put("zone", "z1");
        entry.put("slots", numbers);
        entry.put("state", "ready");
        record.line("another writer: entry %s of %d bytes whose 'slots' is of another type", name, Json.text(entry).length());
        for (long seq = 1; writes.get(); seq++) {
            entry.put("seq", seq);
            store.put("servers", name, new LinkedHashMap<>(entry));
            Thread.sleep(BEAT_MS);
        }
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
