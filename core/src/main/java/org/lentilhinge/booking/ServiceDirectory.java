package org.lentilhinge.booking;

import java.util.Optional;
import org.lentilhinge.configuration.Service;
import org.lentilhinge.identity.ServiceId;

/** Finds the declaration of a service in the applied configuration. */
@FunctionalInterface
public interface ServiceDirectory {

  /**
   * Finds a service.
   *
   * @param service the service
   * @return its declaration, or empty if the service is not declared
   */
  Optional<Service> service(ServiceId service);
}
