package org.wingstall.relay.endpoint;

/** A fleet that stays as the test defines it. */
public record FixedFleet(Fleet snapshot, boolean discoveryComplete, boolean coordinates) implements Fleet.Provider {
    @Override
    public boolean coordinates(String service) {
        return coordinates;
    }
}
