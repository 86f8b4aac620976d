/** Customers: who sends a request, by its API key, and what its customer may use. */
package org.lentilhinge.customer;
