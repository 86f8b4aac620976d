/** The rules of HTTP that the HTTP libraries in use do not enforce. */
package org.lentilhinge.runtime.http;
