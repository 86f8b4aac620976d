/**
 * Which parts of prompts crash engines, and which requests are therefore refused: hosts exchange
 * what became of requests, and each of them draws the same conclusions.
 */
package org.lentilhinge.quarantine;
