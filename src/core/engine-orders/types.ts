import type { EngineRole } from '../configuration';

/** One version of a model or adapter. An engine has at most one version of a name. */
export interface ModelVersion {
  readonly name: string;
  readonly kind: 'model' | 'adapter';
  readonly version: string;
  /** Where the weight store has it. */
  readonly source: string;
}

/** An engine as the configuration has it. */
export interface PlacedEngine {
  readonly engineId: string;
  readonly address: string;
  readonly modelSlots: number;
  readonly refusesOldFencing: boolean;
}

/** What one engine is to have. */
export interface WantedEngine {
  readonly engine: PlacedEngine;
  readonly models: readonly ModelVersion[];
  /** Undefined where roles are left alone. */
  readonly role: EngineRole | undefined;
}

/** What all engines of one service in one region are to have. */
export interface PlacementPlan {
  readonly configurationVersion: number;
  readonly engines: readonly WantedEngine[];
  /** Every name that is wanted, with the number of engines that are to have it. */
  readonly wantedCounts: ReadonlyMap<string, number>;
  /** Roles that some engine is to have. */
  readonly wantedRoles: ReadonlySet<EngineRole>;
}

/** A model on an engine, as the engine tells it. */
export interface PresentModel {
  readonly name: string;
  readonly kind: 'model' | 'adapter';
  readonly version: string;
  readonly state: 'loading' | 'loaded';
  /** Time since its load began, ms; undefined where the engine does not tell. */
  readonly loadAgeMs: number | undefined;
}

/** An engine as it was seen at one look. */
export interface EngineSight {
  readonly engineId: string;
  readonly models: readonly PresentModel[];
  readonly role: EngineRole;
  /** Highest fencing number that the engine has seen; undefined for one that ignores them. */
  readonly fencingNumber: number | undefined;
}

/** One order to one engine. */
export type EngineOrder =
  | { readonly kind: 'load'; readonly engineId: string; readonly model: ModelVersion }
  | {
      readonly kind: 'unload';
      readonly engineId: string;
      readonly name: string;
      readonly modelKind: 'model' | 'adapter';
    }
  | { readonly kind: 'setRole'; readonly engineId: string; readonly role: EngineRole };

/** An order with why it is given, for the log. */
export interface DecidedOrder {
  readonly order: EngineOrder;
  readonly reason: string;
}

/** What an engine answered to an order. */
export type OrderAnswer =
  | { readonly kind: 'accepted' }
  /** The engine has seen a higher fencing number. */
  | { readonly kind: 'fenced'; readonly fencingNumber: number | undefined }
  | { readonly kind: 'failed'; readonly reason: string };
