package org.wingstall.relay.endpoint;

/** A fleet that stays as a test says. */
public record FixedFleet(Fleet snapshot, boolean discoveryComplete, boolean coordinates) implements Fleet.Provider {
    @Override
    public boolean coordinates(String service) {
        return coordinates;
    }
}
