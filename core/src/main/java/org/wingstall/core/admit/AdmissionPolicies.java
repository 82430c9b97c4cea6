package org.wingstall.core.admit;

import org.wingstall.schema.settings.Policy;

/**
 * Creates the admission policy named in the settings.
 *
 * <p>{@code AdmissionPolicy admission = AdmissionPolicies.of(settings.getPolicy());}
 *
 * @since 0.1
 */
public final class AdmissionPolicies {
    private AdmissionPolicies() {}

    /**
     * Returns the admission policy for the settings.
     *
     * @param policy policy settings
     * @return the admission policy
     */
    public static AdmissionPolicy of(Policy policy) {
        return switch (policy.getAdmission()) {
            case ALL -> new AdmitAll();
            case DEADLINE -> new DeadlineAdmission();
        };
    }
}
