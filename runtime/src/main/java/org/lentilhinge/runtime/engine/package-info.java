/**
 * Access to model engines through one interface, {@link
 * org.lentilhinge.runtime.engine.EngineClient}, which is implemented once for each engine protocol.
 */
package org.lentilhinge.runtime.engine;
