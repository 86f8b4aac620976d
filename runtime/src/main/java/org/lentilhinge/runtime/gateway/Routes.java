package org.lentilhinge.runtime.gateway;

import io.vertx.ext.web.Router;

/** A group of paths with their handlers. */
@FunctionalInterface
public interface Routes {

  /**
   * Registers the handlers.
   *
   * @param router the router to register the handlers with
   */
  void mount(Router router);
}
