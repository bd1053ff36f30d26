import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** As much of HTTP/1.1 as the stand-ins need. */
final class Http {
    private Http() {}

    /** A message; [complete] is false if its body ended early. */
    record Message(String start, Map<String, String> headers, byte[] body, boolean complete) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name);
        }
    }

    /** The start line and the headers; null if the connection ended before them. */
    static Message readHead(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) return null;
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        return new Message(start, headers, new byte[0], true);
    }

    static Message read(InputStream in, boolean answer) throws IOException {
        Message head = readHead(in);
        if (head == null) return null;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
            complete = false;
            for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                byte[] chunk = in.readNBytes(size);
                body.write(chunk);
                if (readLine(in) == null || chunk.length < size) break;
                if (size == 0) {
                    complete = true;
                    break;
                }
            }
        } else if (head.header("Content-Length") != null) {
            int size = Integer.parseInt(head.header("Content-Length"));
            byte[] bytes = in.readNBytes(size);
            body.write(bytes);
            complete = bytes.length == size;
        } else if (answer) {
            body.write(in.readAllBytes());
        }
        return new Message(head.start, head.headers, body.toByteArray(), complete);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) return null;
        while (c >= 0 && c != '\n') {
            if (c != '\r') line.write(c);
            c = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Sends [request] on a new connection and reads the answer; null if there is none. */
    static Message call(int port, String request, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(request.getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            socket.getOutputStream().write(bytes.toByteArray());
            return read(new java.io.BufferedInputStream(socket.getInputStream()), true);
        } catch (IOException | RuntimeException failed) {
            return null;
        }
    }
}
