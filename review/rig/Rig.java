import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Starts routers with the command of the deploy file, and keeps the record of a case. */
final class Rig implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    interface Task {
        void run() throws Exception;
    }

    /** One router process. */
    static final class Router {
        String name;
        String zone;
        String ip;
        int front;
        int ready;
        int control;
        Process process;
        File log;
    }

    private final PrintWriter record;
    private final Path folder;
    private final long startedAt = System.nanoTime();
    private final String net;
    final List<Router> routers = new ArrayList<>();
    private final List<Process> others = new CopyOnWriteArrayList<>();
    final Path root;

    Rig(String root, String caseFolder) throws IOException {
        this.root = Path.of(root);
        this.record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
        this.folder = Files.createTempDirectory("review");
        Random random = new Random();
        this.net = "127." + (10 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        record("trouble", TROUBLE ? "1" : "0");
    }

    static void daemon(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception ended) {
                // The connection or listener has ended.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** A loopback address of this run's own. */
    String host(int number) {
        return net + number;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
            return socket.getLocalPort();
        }
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void record(String event, Object... details) {
        record.printf(Locale.ROOT, "%8d %-10s %s%n", now(), event,
            String.join(" ", Arrays.stream(details).map(String::valueOf).toArray(String[]::new)));
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Declares a router in [zone]; its addresses are known from now on. */
    Router declare(String zone) throws IOException {
        Router router = new Router();
        int number = routers.size() + 1;
        router.zone = zone;
        router.name = "front-" + zone + "-" + number;
        router.ip = host(number);
        router.front = freePort(router.ip);
        router.ready = freePort(router.ip);
        router.control = freePort(router.ip);
        routers.add(router);
        return router;
    }

    /** Starts [router] as the platform does: the deploy file's command and the filled template of the settings. */
    void start(Router router, Store store) throws IOException {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("node_name", router.name);
        values.put("zone", router.zone);
        values.put("ip", router.ip);
        values.put("listen.front", router.ip + ":" + router.front);
        values.put("listen.ready_address", router.ip + ":" + router.ready);
        values.put("listen.control", router.ip + ":" + router.control);
        values.put("seed_nodes", String.join(",",
            routers.stream().limit(3).map(r -> r.ip + ":" + r.control).toArray(String[]::new)));
        values.put("platform.address", store.address());
        // The bounds of the small deployments.
        String[] bounds = {"grace_s=8", "revoke_ms=5000", "retry_budget_ratio=0.2", "budget_slack=58",
            "budget_window_s=10", "config_apply_ms=2000", "canary_share=0.1", "canary_slack=50"};
        for (String bound : bounds) {
            values.put("bounds." + bound.split("=")[0], bound.split("=")[1]);
        }
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        String settings = Files.readString(root.resolve(first(deploy, "template = \"([^\"]*)\"")));
        for (Map.Entry<String, String> value : values.entrySet()) {
            settings = settings.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        Path file = folder.resolve(router.name + ".properties");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(first(deploy, "run = \"([^\"]*)\"").split(" "));
        builder.directory(root.toFile());
        builder.environment().put("COMFREYPATH_SETTINGS", file.toString());
        router.log = folder.resolve(router.name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(router.log));
        router.process = builder.start();
        record("router", router.name, "pid", router.process.pid(), "listens", router.ip + ":" + router.front);
    }

    private static String first(String text, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(text);
        if (!matcher.find()) {
            throw new IllegalStateException("not in the deploy file: " + pattern);
        }
        return matcher.group(1);
    }

    /** Asks the readiness address as the platform does. */
    static boolean ready(Router router) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(router.ip, router.ready), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /api/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n".getBytes());
            InputStream in = socket.getInputStream();
            Http.Head head = Http.readHead(in);
            return head != null && head.status() == 200;
        } catch (IOException | RuntimeException notReady) {
            return false;
        }
    }

    /** Waits until all routers are ready, for at most [seconds]. */
    boolean awaitReady(int seconds) {
        long end = now() + seconds * 1_000L;
        while (now() < end) {
            if (routers.stream().allMatch(Rig::ready)) {
                record("ready", routers.size(), "routers");
                return true;
            }
            sleep(100);
        }
        return false;
    }

    /** Sends [signal] to a process that this rig started. */
    void signal(Router router, String signal) throws IOException, InterruptedException {
        record("signal", signal, router.name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(router.process.pid())).start().waitFor();
    }

    /** The lines of a router's log that contain [text]. */
    List<String> log(Router router, String text) throws IOException {
        try (Stream<String> lines = Files.lines(router.log.toPath())) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    /** Ends [process], which the case started, at the end of the case. */
    void endLater(Process process) {
        others.add(process);
    }

    private void endProcesses() {
        others.forEach(Process::destroyForcibly);
        for (Router router : routers) {
            if (router.process != null) {
                router.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Router router : routers) {
            try {
                if (router.process != null) {
                    router.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) {
            for (Router router : routers) {
                Files.copy(router.log.toPath(), Path.of(keep, router.log.getName()),
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
        record.flush();
    }

    /** Records the verdict and ends the process with the exit status of a case. */
    void finish(int status, String why) throws IOException {
        record(status == HELD ? "HELD" : status == BROKEN ? "BROKEN" : "COULD-NOT-RUN", why);
        System.out.println((status == HELD ? "held: " : status == BROKEN ? "broken: " : "could not run: ") + why);
        close();
        Runtime.getRuntime().halt(status);
    }
}
