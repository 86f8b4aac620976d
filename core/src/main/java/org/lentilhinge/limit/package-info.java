/** Request rates that endpoints state, and how all hosts together keep to them. */
package org.lentilhinge.limit;
