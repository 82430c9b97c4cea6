package org.wingstall.gateway.run;

/** The tokens of a stage's output in their order, whichever attempt gave each. */
final class StageTokens {
    private final StringBuilder text = new StringBuilder();
    private int count;

    /** What a token is to those that came before. */
    enum Taken {
        NEXT,
        REPEATED,
        AFTER_A_GAP
    }

    /** Adds a token if it is the next one. */
    Taken take(int index, String token) {
        if (index < count) {
            return Taken.REPEATED;
        }
        if (index > count) {
            return Taken.AFTER_A_GAP;
        }
        count++;
        text.append(token);
        return Taken.NEXT;
    }

    int count() {
        return count;
    }

    String text() {
        return text.toString();
    }
}
