/** Divides scarce places among teams. */
export * from "./claimant_heap.ts";
export * from "./share_allocator.ts";
