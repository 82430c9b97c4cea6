package org.wingstall.relay.endpoint;

/** A fleet that stays as a test says. */
public record FixedFleet(Fleet now, boolean settled, boolean coordinates) implements Fleet.View {
    @Override
    public boolean coordinates(String service) {
        return coordinates;
    }
}
