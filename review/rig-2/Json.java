/** Finds members of JSON objects without reading the rest. */
final class Json {
    private Json() {}

    /** The text of the member called [key] of [object]; null if there is none. */
    static String member(String object, String key) {
        if (object == null) return null;
        int at = skipBlank(object, 0);
        if (at >= object.length() || object.charAt(at) != '{') return null;
        at += 1;
        while (true) {
            at = skipBlank(object, at);
            if (object.charAt(at) == '}') return null;
            if (object.charAt(at) == ',') {
                at += 1;
                continue;
            }
            int keyEnd = valueEnd(object, at);
            String name = object.substring(at + 1, keyEnd - 1);
            int start = skipBlank(object, skipBlank(object, keyEnd) + 1);
            int end = valueEnd(object, start);
            if (name.equals(key)) return object.substring(start, end);
            at = end;
        }
    }

    static String text(String value) {
        return value == null ? null : value.substring(1, value.length() - 1);
    }

    private static int skipBlank(String text, int at) {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at += 1;
        return at;
    }

    private static int valueEnd(String text, int start) {
        int depth = 0;
        boolean quoted = false;
        for (int at = start; at < text.length(); at += 1) {
            char c = text.charAt(at);
            if (quoted) {
                if (c == '\\') at += 1;
                else if (c == '"') {
                    quoted = false;
                    if (depth == 0) return at + 1;
                }
            } else if (c == '"') {
                quoted = true;
            } else if (c == '{' || c == '[') {
                depth += 1;
            } else if (c == '}' || c == ']') {
                if (depth == 0) return at;
                depth -= 1;
                if (depth == 0) return at + 1;
            } else if (depth == 0 && (c == ',' || c == ':')) {
                return at;
            }
        }
        return text.length();
    }
}
