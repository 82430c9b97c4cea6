package org.wingstall.schema.check;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.events.Event;
import org.yaml.snakeyaml.events.MappingEndEvent;
import org.yaml.snakeyaml.events.MappingStartEvent;
import org.yaml.snakeyaml.events.ScalarEvent;
import org.yaml.snakeyaml.parser.Parser;
import org.yaml.snakeyaml.parser.ParserImpl;
import org.yaml.snakeyaml.reader.StreamReader;

/**
 * A YAML document of one level, read without a schema by the generated readers of settings.
 *
 * <p>It only ever says that all of a document fits: whatever is unusual in it makes it unfit, and the check against the
 * schema then decides and explains. Building that check takes a quarter of the processor time of a start.
 *
 * <p>{@code FlatDocument document = FlatDocument.parse("boxId: kgn-a-1"); document.text("boxId", "^[a-z].*$"); document.fits();}
 *
 * @since 0.6
 */
public final class FlatDocument {
    /** Decimal numbers without exponent, sign or leading zeros, which every reader of YAML takes alike. */
    private static final Pattern NUMBER = Pattern.compile("(0|[1-9][0-9]{0,14})(\\.[0-9]{1,15})?");

    /** Words that a reader of YAML may take for something else than text. */
    private static final Set<String> WORDS = Set.of("true", "false", "yes", "no", "on", "off", "y", "n", "null");

    /** Dots in an IP address, and more than in any number. */
    private static final int DOTS_OF_ADDRESS = 3;

    private final Map<String, ScalarEvent> values = new HashMap<>();
    private boolean fits = true;

    private FlatDocument() {}

    /** Reads a document; one that is no mapping of names to plain values doesn't fit. */
    public static FlatDocument parse(String text) {
        FlatDocument document = new FlatDocument();
        try {
            document.read(new ParserImpl(new StreamReader(text), new LoaderOptions()));
        } catch (YAMLException e) {
            // What is wrong with it is said by the check that reads it again.
            document.fits = false;
        }
        return document;
    }

    private void read(Parser parser) {
        expect(parser, Event.ID.StreamStart);
        expect(parser, Event.ID.DocumentStart);
        boolean mapping =
                parser.checkEvent(Event.ID.MappingStart) && ((MappingStartEvent) parser.getEvent()).getTag() == null;
        while (mapping && fits && !(parser.peekEvent() instanceof MappingEndEvent)) {
            ScalarEvent key = scalar(parser);
            ScalarEvent value = scalar(parser);
            fits = key != null && value != null && values.put(key.getValue(), value) == null;
        }
        fits &= mapping;
        expect(parser, Event.ID.MappingEnd);
        expect(parser, Event.ID.DocumentEnd);
        expect(parser, Event.ID.StreamEnd);
    }

    private void expect(Parser parser, Event.ID event) {
        fits = fits && parser.checkEvent(event);
        if (fits) {
            parser.getEvent();
        }
    }

    private static ScalarEvent scalar(Parser parser) {
        boolean plain = parser.checkEvent(Event.ID.Scalar);
        ScalarEvent found = plain ? (ScalarEvent) parser.getEvent() : null;
        return found == null || found.getTag() != null || found.getAnchor() != null ? null : found;
    }

    /** Takes a text that has to be there; null when the document doesn't fit. */
    public String text(String key, String pattern) {
        ScalarEvent found = values.remove(key);
        fits = fits
                && found != null
                && surelyText(found)
                && Pattern.compile(pattern).matcher(found.getValue()).find();
        return fits ? found.getValue() : null;
    }

    /** Takes a text; the default when it is left out. */
    public String text(String key, String pattern, String defaultValue) {
        return values.containsKey(key) ? text(key, pattern) : defaultValue;
    }

    private static boolean surelyText(ScalarEvent found) {
        String value = found.getValue();
        if (!found.isPlain()) {
            return true;
        }
        boolean word = !value.isEmpty() && Character.isLetter(value.charAt(0)) && !WORDS.contains(value.toLowerCase());
        return word || value.chars().filter(character -> character == '.').count() >= DOTS_OF_ADDRESS;
    }

    /** Takes a number; the default when it is left out. */
    public double number(String key, double minimum, double maximum, double defaultValue) {
        ScalarEvent found = values.remove(key);
        if (found == null) {
            return defaultValue;
        }
        fits = fits && found.isPlain() && NUMBER.matcher(found.getValue()).matches();
        double value = fits ? Double.parseDouble(found.getValue()) : defaultValue;
        fits = fits && value >= minimum && value <= maximum;
        return value;
    }

    /** Returns whether all that was taken was valid and nothing is left. */
    public boolean fits() {
        return fits && values.isEmpty();
    }
}
