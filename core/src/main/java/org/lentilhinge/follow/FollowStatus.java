package org.lentilhinge.follow;

import java.util.Optional;
import org.lentilhinge.finding.Findings;

/**
 * The status of a {@link ConfigurationFollower}.
 *
 * @param appliedVersion the applied version, or {@link PublishedVersion#NONE} if none has been
 *     applied yet
 * @param reader whether this host reads the platform's service
 * @param serviceFailure the cause of the last watch's failure, or empty if the watch succeeded
 * @param rejectedVersion the last rejected version, or empty if there is none or a later version is
 *     applied
 * @param rejectionFindings the findings for which that version was rejected
 * @param assemblingVersion the version that is being assembled, or empty
 * @param missingParts the number of texts of that version that are known to be missing
 * @param staleAnswers the number of responses of the service with a version older than the applied
 *     version
 * @param damagedParts the number of received texts that did not match their digest or their
 *     announced version
 */
public record FollowStatus(
    PublishedVersion appliedVersion,
    boolean reader,
    Optional<String> serviceFailure,
    Optional<PublishedVersion> rejectedVersion,
    Findings rejectionFindings,
    Optional<PublishedVersion> assemblingVersion,
    int missingParts,
    long staleAnswers,
    long damagedParts) {}
