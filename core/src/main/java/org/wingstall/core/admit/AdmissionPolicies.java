package org.wingstall.core.admit;

import org.wingstall.schema.settings.Policy;

/**
 * Makes the admission that the settings name.
 *
 * <p>{@code AdmissionPolicy admission = AdmissionPolicies.of(settings.getPolicy());}
 *
 * @since 0.1
 */
public final class AdmissionPolicies {
    private AdmissionPolicies() {}

    /**
     * Returns an admission.
     *
     * @param policy settings of the policy
     * @return the admission
     */
    public static AdmissionPolicy of(Policy policy) {
        return switch (policy.getAdmission()) {
            case ALL -> new AdmitAll();
            case DEADLINE -> new DeadlineAdmission();
        };
    }
}
