/** Randomness. */
export * from "./seeded_random.ts";
