/** Tests of the routing of requests. */
package org.lentilhinge.routing;
