/** Random numbers and ids. */
export * from "./seeded_random.ts";
