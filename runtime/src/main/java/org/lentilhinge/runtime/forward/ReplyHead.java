package org.lentilhinge.runtime.forward;

import java.util.Optional;

/**
 * What an endpoint says beside status and body.
 *
 * @param notExecuted whether it says that it did not execute the request
 * @param signed whether the answer bears the endpoint's signature
 * @param requestId the id of the request that is answered
 */
public record ReplyHead(boolean notExecuted, boolean signed, Optional<String> requestId) {}
