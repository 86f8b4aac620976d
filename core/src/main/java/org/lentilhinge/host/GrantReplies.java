package org.lentilhinge.host;

import java.util.List;
import java.util.OptionalLong;
import org.lentilhinge.grant.GrantAnswer;
import org.lentilhinge.grant.GrantOutcome;
import org.lentilhinge.grant.GrantReply;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.placement.DeclineReason;
import org.lentilhinge.placement.PlacementCommand;

/** Replies to grant requests, including those that have waited for a load. */
final class GrantReplies {

  private static final long NOT_GRANTED_RETRY_MILLIS = 100;

  private final HostIncarnation self;

  GrantReplies(HostIncarnation self) {
    this.self = self;
  }

  void replyPermitted(
      OwnedEngine engine,
      PlacementCommand.Permit permit,
      long nowMillis,
      List<HostCommand> commands) {
    engine
        .removeWaitingGateway(permit.version(), permit.gateway())
        .ifPresent(
            waiting -> {
              GrantAnswer answer =
                  grant(engine, waiting.gateway(), waiting.sequence(), permit.version(), nowMillis);
              commands.add(reply(waiting, answer));
            });
  }

  void replyDeclined(
      OwnedEngine engine, PlacementCommand.Decline decline, List<HostCommand> commands) {
    engine
        .removeWaitingGateway(decline.version(), decline.gateway())
        .ifPresent(waiting -> commands.add(reply(waiting, toAnswer(engine, decline))));
  }

  GrantAnswer grant(
      OwnedEngine engine,
      HostIncarnation gateway,
      long sequence,
      AdapterVersion version,
      long nowMillis) {
    OptionalLong durationMillis = engine.ledger().grant(gateway, sequence, version, nowMillis);
    if (durationMillis.isPresent()) {
      return GrantAnswer.granted(engine.endpoint(), version, durationMillis.getAsLong());
    }
    return GrantAnswer.refused(
        engine.endpoint(), version, GrantOutcome.NO_SLOT, NOT_GRANTED_RETRY_MILLIS);
  }

  static GrantAnswer toAnswer(OwnedEngine engine, PlacementCommand.Decline decline) {
    return GrantAnswer.refused(
        engine.endpoint(),
        decline.version(),
        outcomeOf(decline.reason()),
        decline.retryAfterMillis());
  }

  private HostCommand reply(OwnedEngine.WaitingGateway waiting, GrantAnswer answer) {
    GrantReply message = new GrantReply(self, waiting.sequence(), List.of(answer));
    return new HostCommand.Send(waiting.gateway().host(), message);
  }

  private static GrantOutcome outcomeOf(DeclineReason reason) {
    return switch (reason) {
      case LEAVING -> GrantOutcome.LEAVING;
      case NO_FREE_SLOT -> GrantOutcome.NO_SLOT;
      case STORE_BUSY -> GrantOutcome.STORE_BUSY;
      case LOAD_FAILED, POISONED -> GrantOutcome.LOAD_FAILED;
    };
  }
}
