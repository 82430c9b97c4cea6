import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    /** A message; the body is empty if only the head was read. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }
    }

    private Http() {}

    /** Reads a head; null if the connection ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("inside a head");
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return new Message(first, headers, new byte[0]);
    }

    /** Reads the body that follows a head; an answer without a length ends with its connection. */
    static byte[] readBody(InputStream in, Message head, boolean answer) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) {
                    throw new EOFException("inside chunks");
                }
                int length = Integer.parseInt(line.split(";")[0].strip(), 16);
                if (length > 0) {
                    body.write(exactly(in, length));
                }
                readLine(in);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = head.header("content-length");
        if (length == null) {
            return answer ? in.readAllBytes() : new byte[0];
        }
        return exactly(in, Integer.parseInt(length));
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("inside a body");
        }
        return body;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("inside a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
