package org.lentilhinge.emulator.engine;

import org.lentilhinge.identity.AdapterVersion;

/**
 * An attempt that an engine has accepted.
 *
 * @param attemptId the attempt id
 * @param adapter the adapter version that the attempt runs on
 * @param prompt the prompt
 * @param offset the token position at which the response is resumed, 0 for a new response
 */
public record AcceptedAttempt(
    String attemptId, AdapterVersion adapter, String prompt, int offset) {}
