package org.wingstall.ctl;

/** Exit codes; documented in the manual. */
enum ExitCode {
    OK(0),
    FAILED(1),
    USAGE(2),
    CONFLICT(3),
    NOT_FOUND(4);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
