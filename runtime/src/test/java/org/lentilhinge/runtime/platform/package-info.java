/** Tests of the clients of the platform. */
package org.lentilhinge.runtime.platform;
