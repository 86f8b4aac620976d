package org.lentilhinge.replay;

import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.CallerId;

/**
 * An arriving request.
 *
 * @param atMillis the time of arrival in milliseconds of virtual time
 * @param caller the caller
 * @param adapter the requested adapter
 * @param hostPosition the relative position, from 0 to 1, of the receiving entry host in the list
 *     of the region
 * @param inFarRegion whether the request arrives in the region without the weight store
 * @param promptTokens the length of the prompt in tokens
 * @param outputTokens the length of the response in tokens
 * @param promptPrefix a fingerprint of the start of the prompt
 */
record Arrival(
    long atMillis,
    CallerId caller,
    AdapterId adapter,
    double hostPosition,
    boolean inFarRegion,
    int promptTokens,
    int outputTokens,
    long promptPrefix) {}
