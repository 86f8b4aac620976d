package org.lentilhinge.runtime.forward;

import org.lentilhinge.permit.EngineSelector;

/** Ends what concerns hosts that are leaving or do not respond. */
final class OtherHostsListener implements OverlayRunner.Listener {

  private final HostContext context;
  private final EngineSelector engineSelector;
  private final EngineSchedulers schedulers;
  private final PermitClient permits;

  OtherHostsListener(
      HostContext context,
      EngineSelector engineSelector,
      EngineSchedulers schedulers,
      PermitClient permits) {
    this.context = context;
    this.engineSelector = engineSelector;
    this.schedulers = schedulers;
    this.permits = permits;
  }

  @Override
  public void onLeaving(String host) {
    // The engines of the leaving host need a new owner. The leaving host still serves earlier
    // permit requests.
    engineSelector.removeHost(host);
    engineSelector.claims().recordLeaving(host, context.now());
  }

  @Override
  public void onProcessEnded(String host) {
    engineSelector.claims().recordRestart(host, context.now());
  }

  @Override
  public void onUnresponsive(String host) {
    // Its engine statuses stay: they keep this host from a takeover while the owner may go on.
    permits.removeHost(host);
  }

  @Override
  public void onEnded(String host) {
    schedulers.removeHost(host);
    permits.endHost(host);
    engineSelector.removeHost(host);
    engineSelector.claims().recordEnd(host);
  }
}
