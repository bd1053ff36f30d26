import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** Starts a small deployment on loopback addresses: the store stand-in, routers, servers; and records what happens. */
final class Rig implements AutoCloseable {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Path root = Path.of("").toAbsolutePath();
    final Path temp = Files.createTempDirectory("case");
    final long startedAt = System.nanoTime();
    final List<Process> processes = new CopyOnWriteArrayList<>();
    final List<Server> servers = new CopyOnWriteArrayList<>();
    private final PrintWriter record;
    int storePort;

    Rig(String folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(root.resolve(folder).resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        log("trouble " + (TROUBLE ? "on" : "off"));
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void log(String line) {
        record.println(String.format("%7.3f %s", now() / 1000.0, line));
    }

    private static int nextPort = 12_000 + new Random().nextInt(8_000);

    /** A port below the range of outgoing connections that is free for TCP and UDP. */
    static synchronized int freePort() throws IOException {
        for (int tries = 0; tries < 2_000; tries++) {
            int port = nextPort++;
            InetAddress loopback = InetAddress.getByName("127.0.0.1");
            try (
                ServerSocket tcp = new ServerSocket(port, 1, loopback);
                DatagramSocket udp = new DatagramSocket(port, loopback)
            ) {
                return port;
            } catch (IOException taken) {
                // the next one
            }
        }
        throw new IOException("no free port");
    }

    // ---- processes -------------------------------------------------------------------------------------------------

    /** The run command of the deploy file, without the role. */
    private List<String> runCommand() throws IOException {
        String line = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(text -> text.startsWith("run = ")).findFirst().orElseThrow();
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return new ArrayList<>(List.of(command.split(" ")));
    }

    private Process launch(String name, List<String> command, Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".log").toFile()));
        builder.environment().putAll(environment);
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    /** Starts the project's stand-in of the platform's store. */
    void startStore() throws Exception {
        storePort = freePort();
        launch("store", List.of("java", "-Xmx128m", "-jar", "target/comfreypath.jar", "stand-in", "object-store",
            "--listen", "127.0.0.1:" + storePort), Map.of());
        await("the store", 20_000, () -> call(storePort, "GET", "/counts", null).status == 200);
    }

    /** Writes an object as the operator or a server does; returns the status. */
    int put(String kind, String name, String spec) throws IOException {
        String document = "{\"metadata\":{\"name\":\"" + name + "\"},\"spec\":" + spec + "}";
        int status = call(storePort, "POST", "/api/objects/" + kind, document).status;
        return status != 409 ? status : call(storePort, "PUT", "/api/objects/" + kind + "/" + name, document).status;
    }

    String get(String kind, String name) throws IOException {
        Reply reply = call(storePort, "GET", "/api/objects/" + kind + "/" + name, null);
        return reply.status == 200 ? reply.text() : "";
    }

    void remove(String kind, String name) throws IOException {
        call(storePort, "DELETE", "/api/objects/" + kind + "/" + name, null);
    }

    static Reply call(int port, String method, String path, String body) throws IOException {
        try (Client client = new Client(port, 5_000)) {
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            client.send(method, path, "Host: store\r\nContent-Type: application/json\r\n", bytes);
            return client.receive();
        }
    }

    interface Case {
        /** Plays the case; returns whether the rule held. */
        boolean run(Rig rig) throws Exception;
    }

    /** Plays a case that writes its record to [folder], and exits: 0 if the rule held, 1 if not, 2 if it couldn't run. */
    static void play(String folder, Case body) {
        int status = 2;
        try (Rig rig = new Rig(folder)) {
            status = body.run(rig) ? 0 : 1;
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }

    interface Check {
        boolean holds() throws Exception;
    }

    void await(String what, long milliseconds, Check check) throws Exception {
        long until = now() + milliseconds;
        while (now() < until) {
            try {
                if (check.holds()) return;
            } catch (IOException notYet) {
                // tried again
            }
            Thread.sleep(50);
        }
        log("gave up waiting for " + what);
        System.exit(2);
    }

    /** A router process, with the settings that the deploy file's template makes of a small deployment. */
    final class Router {
        final String name;
        final String zone;
        final int port = freePort();
        final int readyPort = freePort();
        final int peerPort = freePort();
        final int metricsPort = freePort();
        Process process;

        Router(String name, String zone) throws IOException {
            this.name = name;
            this.zone = zone;
        }

        void start(List<Router> seeds) throws IOException {
            List<String> addresses = seeds.stream().limit(3).map(it -> "127.0.0.1:" + it.peerPort).toList();
            String peers = String.join(",", addresses);
            Map<String, String> values = new LinkedHashMap<>();
            values.put("node_name", name);
            values.put("zone", zone);
            values.put("listen.front", "127.0.0.1:" + port);
            values.put("listen.ready_address", "127.0.0.1:" + readyPort);
            values.put("listen.control", "127.0.0.1:" + peerPort);
            values.put("seed_nodes", peers);
            values.put("ip}}:9464", "");
            values.put("platform.address", "127.0.0.1:" + storePort);
            values.put("bounds.grace_s", "8");
            values.put("bounds.revoke_ms", "5000");
            values.put("bounds.retry_budget_ratio", "0.2");
            values.put("bounds.budget_slack", "58");
            values.put("bounds.budget_window_s", "10");
            values.put("bounds.config_apply_ms", "2000");
            values.put("bounds.canary_share", "0.1");
            values.put("bounds.canary_slack", "50");
            String text = Files.readString(root.resolve("deploy/router.properties"));
            // Every instance has an address of its own in a deployment; here only the ports differ.
            text = text.replace("{{ip}}:9464", "127.0.0.1:" + metricsPort).replaceAll("\\{\\{[#/][^}]*\\}\\}", "");
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace("{{" + value.getKey() + "}}", value.getValue());
            }
            Path file = temp.resolve(name + ".properties");
            Files.writeString(file, text);
            process = launch(name, runCommand(), Map.of("COMFREYPATH_SETTINGS", file.toString()));
            log("router " + name + " started, process " + process.pid());
        }

        boolean ready() {
            try (Client client = new Client(readyPort, 1_000)) {
                client.send("GET", "/api/ready", "Host: ready\r\n", new byte[0]);
                return client.receive().status == 200;
            } catch (IOException closed) {
                return false;
            }
        }

        void signal(String name) throws Exception {
            log("signal " + name + " to " + this.name);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }
    }

    // ---- servers ---------------------------------------------------------------------------------------------------

    interface Handler {
        /** Answers a request that the server runs. */
        void run(Server server, Request request, Connection connection) throws Exception;
    }

    /** A request as a server or a client receives it. */
    static final class Request {
        String method;
        String path;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        long at;

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        String id() {
            return header("X-Attempt-Id");
        }
    }

    /** One connection to a server. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            in = new java.io.BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void answer(int status, String headers, String body) throws IOException {
            write("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }
    }

    /** A back end that registers in the store and follows PROTOCOL.md: echoes ids, seals answers, checks its name. */
    final class Server {
        final String id;
        final String service;
        final String zone;
        final String version;
        final int slots;
        final ServerSocket socket = new ServerSocket();
        final Handler handler;
        final long born = System.currentTimeMillis();
        final List<Connection> connections = new CopyOnWriteArrayList<>();
        volatile String state = "ready";
        volatile long warmAt;
        volatile boolean stopped;
        private final AtomicLong beats = new AtomicLong();

        Server(String id, String service, String zone, String version, int slots, Handler handler) throws IOException {
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.version = version;
            this.slots = slots;
            this.handler = handler;
            socket.bind(new InetSocketAddress("127.0.0.1", 0), 1_024);
            servers.add(this);
        }

        void start() throws IOException {
            background("accept " + id, () -> {
                while (!stopped) {
                    Connection connection = new Connection(socket.accept());
                    connection.socket.setTcpNoDelay(true);
                    connections.add(connection);
                    background("serve " + id, () -> serve(connection));
                }
            });
            beat();
        }

        /** Writes the entry. A beat that changes nothing but `seq` changes no entry, so that none is written for it. */
        void beat() throws IOException {
            long cold = Math.max(0, warmAt - now());
            put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + socket.getLocalPort()
                + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\""
                + state + "\",\"cold_left_ms\":" + cold + ",\"born\":" + born + ",\"seq\":"
                + beats.incrementAndGet() + "}");
        }

        private void serve(Connection connection) throws Exception {
            try {
                while (!stopped) {
                    Request request = readRequest(connection.in);
                    if (request == null) break;
                    request.at = now();
                    String expected = request.header("X-Target-Instance");
                    if (!expected.isEmpty() && !expected.equals(id)) {
                        connection.answer(421, "X-Instance-Id: " + id + "\r\n", "");
                    } else {
                        handler.run(this, request, connection);
                    }
                }
            } catch (IOException closed) {
                // the peer has closed
            } finally {
                connection.socket.close();
                connections.remove(connection);
            }
        }

        /** Headers of every answer to [request]. */
        String headers(Request request) {
            return "X-Attempt-Id: " + request.id() + "\r\nX-Response-Seal: seal." + id + "." + request.id() + "\r\n";
        }

        void stop() throws IOException {
            stopped = true;
            socket.close();
            for (Connection connection : connections) connection.socket.close();
        }
    }

    interface Task {
        void run() throws Exception;
    }

    void background(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException closed) {
                // ends with its socket
            } catch (Exception failure) {
                log(name + " failed: " + failure);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) >= 0 && next != '\n') line.write(next);
        if (next < 0 && line.size() == 0) return null;
        if (next < 0) throw new EOFException("within a line");
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) throw new EOFException("within chunks");
                int count = Integer.parseInt(size.trim(), 16);
                if (count == 0) {
                    String trailer = readLine(in);
                    while (trailer != null && !trailer.isEmpty()) trailer = readLine(in);
                    return body.toByteArray();
                }
                byte[] chunk = in.readNBytes(count);
                if (chunk.length < count) throw new EOFException("within a chunk");
                body.writeBytes(chunk);
                readLine(in);
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new EOFException("within a body");
        return body;
    }

    static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
            line = readLine(in);
        }
        if (line == null) throw new EOFException("within headers");
    }

    static Request readRequest(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Request request = new Request();
        String[] words = first.split(" ");
        request.method = words[0];
        request.path = words[1];
        readHeaders(in, request.headers);
        request.body = readBody(in, request.headers);
        return request;
    }

    // ---- clients ---------------------------------------------------------------------------------------------------

    /** An answer as a client receives it. */
    static final class Reply {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** One client connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(int port, int timeoutMilliseconds) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(Math.max(1, timeoutMilliseconds));
            in = new java.io.BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String method, String path, String headers, byte[] body) throws IOException {
            String length = body.length > 0 || !method.equals("GET") ? "Content-Length: " + body.length + "\r\n" : "";
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.writeBytes((method + " " + path + " HTTP/1.1\r\n" + headers + length + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
            message.writeBytes(body);
            out.write(message.toByteArray());
            out.flush();
        }

        Reply receive() throws IOException {
            String first = readLine(in);
            if (first == null) throw new EOFException("closed without an answer");
            Reply reply = new Reply();
            reply.status = Integer.parseInt(first.split(" ")[1]);
            readHeaders(in, reply.headers);
            reply.body = readBody(in, reply.headers);
            return reply;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static final Random RANDOM = new Random();

    static String newId() {
        return String.format("%016x", RANDOM.nextLong());
    }

    static String clientHeaders(String id, long deadlineMilliseconds) {
        return "Host: " + HOST + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + deadlineMilliseconds
            + "\r\nAuthorization: Token " + KEY + "\r\n";
    }

    // ---- the configuration -----------------------------------------------------------------------------------------

    static String route(String name, String prefix, String kind, String service, int timeout, int attempts) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
            + "\",\"route_type\":\"" + kind + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":386,"
            + "\"priority\":2,\"service\":\"" + service + "\",\"max_attempts\":" + attempts
            + ",\"public_access\":false,\"session_affinity\":false,\"stream_resume\":false}";
    }

    static String service(String name, double coldSeconds, double coldPerSecond) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":620,\"protocol\":\"h1\","
            + "\"tls\":false,\"cold_start_s\":" + coldSeconds + ",\"cold_per_s\":" + coldPerSecond + "}";
    }

    static String configuration(int version, List<String> routes, List<String> services) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\","
            + "\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    void awaitReady(List<Router> routers) throws Exception {
        for (Router router : routers) await(router.name, 30_000, router::ready);
    }

    /** Ends every process and thread of the case, and removes its temporary folder. */
    @Override
    public synchronized void close() {
        for (Server server : servers) {
            try {
                server.stop();
            } catch (IOException closed) {
                // is closed
            }
        }
        for (Process process : processes) {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        if ("1".equals(System.getenv("KEEP"))) return;
        try (var files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException gone) {
            // is removed
        }
    }
}
