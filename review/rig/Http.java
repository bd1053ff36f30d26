import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream of bytes. */
final class Http {
    private Http() {
    }

    /** The first line and the headers of a message; header names ignore case. */
    static final class Head {
        String line;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** Reads a head; returns null at the end of the connection before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Head head = new Head();
        head.line = first;
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            head.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
            line = readLine(in);
        }
        if (line == null) {
            throw new EOFException("the connection ended within a head");
        }
        return head;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            line.write(next);
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("the connection ended within a line");
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    static boolean chunked(Head head) {
        return head.headers.getOrDefault("Transfer-Encoding", "").toLowerCase(Locale.ROOT).contains("chunked");
    }

    /** Reads the whole body; [toEnd] is true for a response, which may end with its connection. */
    static byte[] readBody(InputStream in, Head head, boolean toEnd) throws IOException {
        if (chunked(head)) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
            while (size > 0) {
                body.write(exactly(in, size));
                readLine(in);
                size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
            }
            readLine(in);
            return body.toByteArray();
        }
        String length = head.headers.get("Content-Length");
        if (length != null) {
            return exactly(in, Integer.parseInt(length));
        }
        return toEnd ? in.readAllBytes() : new byte[0];
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body ended after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }
}
