-- The record, in the words that SQLite and PostgreSQL both read. Times are Unix microseconds.
CREATE TABLE record_message (
    id TEXT NOT NULL PRIMARY KEY,
    relay TEXT NOT NULL,
    relays TEXT NOT NULL,
    epoch BIGINT NOT NULL,
    class TEXT NOT NULL,
    once BIGINT NOT NULL CHECK (once IN (0, 1)),
    tenant TEXT,
    destination BIGINT NOT NULL,
    taken_at BIGINT NOT NULL,
    ended_at BIGINT NOT NULL CHECK (ended_at >= taken_at),
    outcome TEXT NOT NULL CHECK (outcome IN ('delivered', 'refused', 'failed', 'withdrawn')),
    effect TEXT NOT NULL CHECK (effect IN ('took', 'never', 'in_doubt')),
    attempts BIGINT NOT NULL,
    endpoint TEXT,
    evidence TEXT NOT NULL,
    evidence_text TEXT,
    receipt_id TEXT,
    receipt_mic TEXT,
    receipt_disposition TEXT,
    partner TEXT,
    expected_mic TEXT,
    body_length BIGINT NOT NULL,
    body_sha256 TEXT NOT NULL
);
CREATE INDEX record_message_ended ON record_message (ended_at, id);
CREATE INDEX record_message_destination ON record_message (destination, ended_at);
CREATE INDEX record_message_doubt ON record_message (ended_at) WHERE effect = 'in_doubt';

CREATE TABLE record_attempt (
    message TEXT NOT NULL,
    relay TEXT NOT NULL,
    taken_at BIGINT NOT NULL,
    attempt BIGINT NOT NULL,
    endpoint TEXT NOT NULL,
    began_at BIGINT NOT NULL,
    ended_at BIGINT,
    result TEXT NOT NULL,
    effect TEXT NOT NULL CHECK (effect IN ('took', 'never', 'in_doubt')),
    evidence TEXT NOT NULL,
    evidence_text TEXT,
    receipt_mic TEXT,
    PRIMARY KEY (message, relay, taken_at, attempt)
);

CREATE TABLE record_event (
    message TEXT NOT NULL,
    kind TEXT NOT NULL,
    source TEXT NOT NULL,
    detail TEXT NOT NULL,
    at BIGINT NOT NULL,
    effect TEXT NOT NULL CHECK (effect IN ('took', 'never', 'in_doubt')),
    mic TEXT,
    PRIMARY KEY (message, kind, source, detail)
);

CREATE TABLE record_lease (
    relay TEXT NOT NULL PRIMARY KEY,
    epoch BIGINT NOT NULL,
    holder TEXT NOT NULL,
    beat BIGINT NOT NULL
);

CREATE TABLE record_quarantine (
    relay TEXT NOT NULL,
    message TEXT NOT NULL,
    number BIGINT NOT NULL,
    at BIGINT NOT NULL,
    reason TEXT NOT NULL,
    entry TEXT NOT NULL,
    PRIMARY KEY (relay, message, number)
);

CREATE TABLE record_takeover (
    relay TEXT NOT NULL PRIMARY KEY,
    at BIGINT NOT NULL,
    messages BIGINT NOT NULL
);
