import java.io.IOException;
import java.io.PrintWriter;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Starts routers with the command and the settings template of the deploy folder, and keeps the record of a case. */
final class Rig implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private final Path repository = Path.of("").toAbsolutePath();
    private final Path temporary;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Router> routers = new ArrayList<>();
    private volatile boolean closed;
    private final AtomicLong ids = new AtomicLong();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<String> seeds = new ArrayList<>();

    Rig(String folder) throws IOException {
        temporary = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        note("trouble: %s", trouble);
    }

    /** Runs a case and exits with its result. */
    static void exitWith(java.util.concurrent.Callable<Integer> run) {
        int status = NOT_RUN;
        try {
            status = run.call();
        } catch (Exception failed) {
            System.err.println("the case could not run: " + failed);
        }
        System.exit(status);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    static void spawn(Runnable task) {
        daemon(task).start();
    }

    double now() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    void note(String format, Object... values) {
        String line = String.format("%8.3f  ", now()) + String.format(format, values);
        synchronized (record) {
            if (!closed) record.println(line);
        }
    }

    void sleepUntil(double second) throws InterruptedException {
        long left = (long) ((second - now()) * 1_000);
        if (left > 0) Thread.sleep(left);
    }

    String id() {
        return String.format("%016x", 0x5e00000000000000L + ids.incrementAndGet());
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** A router process on a machine of its own name and addresses. */
    final class Router {
        final String name;
        final String zone;
        final int front = freePort();
        final int ready = freePort();
        final int control = freePort();
        final int metrics = freePort();
        final int store;
        final List<Double> ownEnds = new ArrayList<>();
        private Process process;
        private boolean wanted;

        private Router(String name, String zone, int store) throws IOException {
            this.name = name;
            this.zone = zone;
            this.store = store;
        }

        synchronized void start() throws IOException {
            Path settings = temporary.resolve(name + ".properties");
            Files.writeString(settings, settings());
            List<String> words = List.of(deployCommand().split(" "));
            ProcessBuilder builder = new ProcessBuilder(words).directory(repository.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("COMFREYPATH_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(temporary.resolve(name + ".log").toFile()));
            process = builder.start();
            wanted = true;
            note("%s started", name);
        }

        private String settings() throws IOException {
            String text = Files.readString(repository.resolve("deploy/router.properties"));
            Map<String, String> values = new HashMap<>(BOUNDS);
            values.put("node_name", name);
            values.put("zone", zone);
            values.put("ip", "127.0.0.1");
            values.put("listen.front", "127.0.0.1:" + front);
            values.put("listen.ready_address", "127.0.0.1:" + ready);
            values.put("listen.control", "127.0.0.1:" + control);
            values.put("seed_nodes", String.join(",", seeds));
            values.put("platform.address", "127.0.0.1:" + store);
            text = Pattern.compile("\\{\\{#([a-z_.]+)}}(.*?)\\{\\{/\\1}}").matcher(text)
                .replaceAll(it -> values.containsKey(it.group(1)) ? Matcher.quoteReplacement(it.group(2)) : "");
            text = Pattern.compile("\\{\\{([a-z_.]+)}}").matcher(text)
                .replaceAll(it -> Matcher.quoteReplacement(values.getOrDefault(it.group(1), "")));
            // All machines share one address here.
            return text.replace("metrics-listen=127.0.0.1:9464", "metrics-listen=127.0.0.1:" + metrics);
        }

        boolean isReady() {
            Http.Message answer = Http.call(ready, "GET /api/ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n", new byte[0], 1_000);
            return answer != null && answer.status() == 200;
        }

        /** Sends SIGKILL and waits. */
        synchronized void kill() throws InterruptedException {
            wanted = false;
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            note("%s killed", name);
        }

        /** Starts the process again after its own end, as the platform does, until the rig closes. */
        void keepRunning() {
            spawn(() -> {
                try {
                    while (true) {
                        Process running = process;
                        int status = running.waitFor();
                        synchronized (this) {
                            if (!wanted) return;
                            ownEnds.add(now());
                        }
                        note("%s ended by itself, status %d: %s", name, status, lastLine());
                        Thread.sleep(500);
                        synchronized (this) {
                            if (!wanted) return;
                            start();
                        }
                    }
                } catch (InterruptedException | IOException stopped) {
                    note("%s is not watched any more: %s", name, stopped);
                }
            });
        }

        String lastLine() {
            try {
                List<String> lines = Files.readAllLines(temporary.resolve(name + ".log"));
                return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
            } catch (IOException | java.io.UncheckedIOException unreadable) {
                return "";
            }
        }

        private synchronized void end() {
            wanted = false;
            if (process != null) process.destroyForcibly();
        }
    }

    private String deployCommand() throws IOException {
        Matcher found = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(repository.resolve("deploy/system.toml")));
        if (!found.find()) throw new IOException("no command in deploy/system.toml");
        return found.group(1);
    }

    Router addRouter(String name, String zone, int store) throws IOException {
        Router router = new Router(name, zone, store);
        routers.add(router);
        if (seeds.size() < 3) seeds.add("127.0.0.1:" + router.control);
        return router;
    }

    /** Starts all routers and waits until they are ready; returns false if they aren't in time. */
    boolean startAll() throws IOException, InterruptedException {
        for (Router router : routers) router.start();
        double until = now() + 20;
        for (Router router : routers) {
            while (!router.isReady()) {
                if (now() > until) return false;
                Thread.sleep(50);
            }
        }
        note("all %d routers are ready", routers.size());
        return true;
    }

    List<Router> routers() {
        return routers;
    }

    /** The bounds of the Shared Slate Roof Quote Platform that the template uses. */
    private static final Map<String, String> BOUNDS = Map.of(
        "bounds.grace_s", "8",
        "bounds.revoke_ms", "5000",
        "bounds.retry_budget_ratio", "0.2",
        "bounds.budget_slack", "58",
        "bounds.budget_window_s", "10",
        "bounds.config_apply_ms", "2000",
        "bounds.canary_share", "0.1",
        "bounds.canary_slack", "50");

    static String route(String name, String prefix, String type, int timeoutMs, String service, int attempts, boolean isPublic) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"desk.example\",\"path_prefix\":\"" + prefix
            + "\",\"route_type\":\"" + type + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":300,\"priority\":1,\"service\":\""
            + service + "\",\"max_attempts\":" + attempts + ",\"public_access\":" + isPublic
            + ",\"session_affinity\":false,\"stream_resume\":false"
            + (type.equals("streaming") ? ",\"gap_target_ms\":250" : "") + "}";
    }

    static String service(String name, int connections) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":" + connections
            + ",\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
    }

    static String configuration(int version, List<String> routes, List<String> services, String tenants) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}" + (tenants == null ? "" : ",\"tenants\":" + tenants) + "}";
    }

    static String serverEntry(String service, int port, String zone, int slots, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_left_ms\":0,\"born\":1796600000000,\"seq\":1}";
    }

    /** Ends all processes, and deletes the temporary files. */
    @Override
    public void close() {
        closed = true;
        routers.forEach(Router::end);
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) copyLogs(Path.of(keep));
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(it -> it.toFile().delete());
        } catch (IOException | java.io.UncheckedIOException gone) {
            // Nothing is left to delete.
        }
    }

    private void copyLogs(Path folder) {
        for (Router router : routers) {
            try {
                Path log = temporary.resolve(router.name + ".log");
                if (Files.exists(log)) Files.copy(log, folder.resolve(router.name + ".log"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            } catch (IOException unreadable) {
                note("no log of %s: %s", router.name, unreadable);
            }
        }
    }

    /** Counts of answers by status. */
    static final class Counts {
        private final Map<String, Integer> counts = new TreeMap<>();

        synchronized void add(String key) {
            counts.merge(key, 1, Integer::sum);
        }

        @Override
        public synchronized String toString() {
            return counts.toString();
        }
    }
}
