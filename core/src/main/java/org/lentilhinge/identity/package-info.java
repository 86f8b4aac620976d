/** Identifiers of hosts, endpoints, adapters, callers, requests and other entities. */
package org.lentilhinge.identity;
