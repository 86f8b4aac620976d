package org.lentilhinge.runtime.forward;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.overlay.HostMajority;
import org.lentilhinge.overlay.HostOverlay;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.overlay.OverlayCommand;
import org.lentilhinge.runtime.peer.LinkChange;
import org.lentilhinge.runtime.peer.LinkFailure;
import org.lentilhinge.runtime.peer.PeerAddress;

/** Runs the membership of this host over the peer links, and logs what changes in it. */
final class OverlayRunner {

  private final HostContext context;
  private final HostOverlay overlay;
  private final Consumer<Collection<PeerAddress>> linkUpdater;
  private final PeerSender sender;
  private final Listener listener;
  private final SettingsReload settingsReload;
  private Set<String> linkedHosts = Set.of();
  private long linkedGeneration = -1;
  private boolean loggedHeld;
  private boolean loggedCertain;

  /** Receives what affects the requests of other hosts. */
  interface Listener {

    /** The engines of a host need another owner, but the host still answers. */
    void onLeaving(String host);

    /** The former process of a host has ended: it sends no further orders to engines. */
    void onProcessEnded(String host);

    /**
     * A host may have failed: requests that wait for its answers should not wait longer. The host
     * may as well still own its engines.
     */
    void onUnresponsive(String host);

    /** All messages and requests in flight to and from a host are void. */
    void onEnded(String host);
  }

  OverlayRunner(
      HostContext context,
      HostOverlay overlay,
      Consumer<Collection<PeerAddress>> linkUpdater,
      PeerSender sender,
      Listener listener) {
    this.context = context;
    this.overlay = overlay;
    this.linkUpdater = linkUpdater;
    this.sender = sender;
    this.listener = listener;
    settingsReload = new SettingsReload(context.settings(), context.log(), this::setSeeds);
  }

  void receive(String from, PeerMessage message) {
    execute(overlay.onMessage(from, message, context.now()));
  }

  void tick() {
    execute(overlay.onTick(context.now()));
    logMajority();
    if (overlay.generation() != linkedGeneration) {
      updateLinkedHosts();
    }
  }

  void leave() {
    execute(overlay.leave());
  }

  void reload(ForwardSettings settings) {
    settingsReload.apply(settings);
  }

  private void setSeeds(List<String> addresses) {
    overlay.setSeeds(addresses.stream().map(HostNames::ofAddress).toList());
    updateLinkedHosts();
  }

  private void updateLinkedHosts() {
    linkedGeneration = overlay.generation();
    Set<String> hosts = overlay.addresses();
    if (hosts.equals(linkedHosts)) {
      return;
    }
    linkedHosts = hosts;
    String ownAddress = context.settings().peerAddress();
    int port = Integer.parseInt(ownAddress.substring(ownAddress.lastIndexOf(':') + 1));
    linkUpdater.accept(
        hosts.stream().map(host -> new PeerAddress(new HostId(host), false, host, port)).toList());
  }

  /** Handles a change of the link to a host. The end of an idle link says nothing of the host. */
  void onLinkChange(LinkChange change) {
    String host = change.peer().host().value();
    boolean routine =
        change.failure() == LinkFailure.IDLE || change.failure() == LinkFailure.STOPPED;
    if (change.up() || routine) {
      return;
    }
    recordFailure(host, change.failure());
    if (overlay.isConnected(host)) {
      context.log().line("link-lost", "peer", host, "why", change.failure());
    }
    overlay.markDisconnected(host);
    listener.onUnresponsive(host);
  }

  private void recordFailure(String host, LinkFailure failure) {
    if (failure == LinkFailure.REFUSED) {
      overlay.majority().recordRefusal(host, context.now());
    } else if (failure == LinkFailure.HANDSHAKE_TIMEOUT || failure == LinkFailure.SILENT) {
      overlay.majority().recordNoResponse(host);
    }
  }

  /** Logs whether this host acts as the majority, and whether other hosts may do so unheard. */
  private void logMajority() {
    HostMajority majority = overlay.majority();
    boolean held = majority.millisWithout(context.now()) == 0;
    boolean certain = majority.isCertain();
    if (held != loggedHeld || certain != loggedCertain) {
      loggedHeld = held;
      loggedCertain = certain;
      context
          .log()
          .line(
              "majority",
              "held",
              held,
              "certain",
              certain,
              "live",
              overlay.liveHosts().size() + 1,
              "lost",
              majority.lostAtMillis(Long.MIN_VALUE).size(),
              "unheardSeeds",
              majority.describeUnheardSeeds());
    }
  }

  private void execute(List<OverlayCommand> commands) {
    for (OverlayCommand command : commands) {
      if (command instanceof OverlayCommand.Send send) {
        sender.send(send.host(), send.message());
      } else if (command instanceof OverlayCommand.Joined joined) {
        log("host-joined", joined.host());
        updateLinkedHosts();
      } else if (command instanceof OverlayCommand.Restarted restarted) {
        log("host-restarted", restarted.host());
        listener.onProcessEnded(restarted.host().host());
        listener.onEnded(restarted.host().host());
      } else if (command instanceof OverlayCommand.Leaving leaving) {
        log("host-leaving", leaving.host());
        listener.onLeaving(leaving.host().host());
      } else if (command instanceof OverlayCommand.Suspected suspected) {
        log("host-suspected", suspected.host());
        listener.onUnresponsive(suspected.host().host());
      } else if (command instanceof OverlayCommand.Lost lost) {
        log("host-lost", lost.host());
        listener.onEnded(lost.host().host());
      }
    }
  }

  private void log(String event, HostRecord host) {
    context
        .log()
        .line(
            event,
            "host",
            host.host(),
            "zone",
            host.zone(),
            "version",
            host.version(),
            "live",
            overlay.liveHosts().size() + 1);
  }
}
