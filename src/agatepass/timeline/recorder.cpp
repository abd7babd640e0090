#include "agatepass/timeline/recorder.h"

#include <algorithm>
#include <utility>

namespace agatepass::timeline {

namespace {

// Room for one event of the longest texts, so that every event fits alone.
constexpr size_t kLeastTextBytes = 2 * kMaxIdentifierBytes + kMaxDetailBytes;

std::string_view CutTo(std::string_view text, size_t limit) {
  if (text.size() <= limit) return text;
  // A cut within a UTF-8 sequence would make the rendered JSON invalid.
  while (limit > 0 && (static_cast<uint8_t>(text[limit]) & 0xC0U) == 0x80U) {
    --limit;
  }
  return text.substr(0, limit);
}

}  // namespace

Recorder::Recorder(base::HostId host, const RecorderLimits& limits)
    : host(std::move(host)),
      slots(std::max<size_t>(limits.events, 1)),
      text(std::max(limits.text_bytes, kLeastTextBytes)) {}

HybridTime Recorder::Record(base::WallTime now, const EventRecord& record) {
  const std::string_view subject = CutTo(record.subject, kMaxIdentifierBytes);
  const std::string_view parent = CutTo(record.parent, kMaxIdentifierBytes);
  const std::string_view detail = CutTo(record.detail, kMaxDetailBytes);
  const uint32_t offset =
      this->TakeText(subject.size() + parent.size() + detail.size());
  if (this->kept == this->slots.size()) {
    this->first = (this->first + 1) % this->slots.size();
    --this->kept;
  }
  Slot& slot = this->slots[(this->first + this->kept) % this->slots.size()];
  slot = Slot{.time = this->clock.Tick(now),
              .offset = offset,
              .subject_bytes = static_cast<uint16_t>(subject.size()),
              .parent_bytes = static_cast<uint16_t>(parent.size()),
              .detail_bytes = static_cast<uint16_t>(detail.size()),
              .code = record.code,
              .kind = record.kind};
  ++this->kept;
  ++this->next_sequence;
  this->Append(this->Append(this->Append(offset, subject), parent), detail);
  return slot.time;
}

HostEvents Recorder::Find(const EventQuery& query) const {
  HostEvents found{.host = this->host,
                   .recorded = this->recorded(),
                   .dropped = this->dropped()};
  if (this->kept > 0) found.oldest = this->Oldest().time;
  const uint64_t oldest_sequence = this->next_sequence - this->kept;
  for (size_t rank = this->kept; rank-- > 0;) {
    if (oldest_sequence + rank <= query.after_sequence) break;
    if (!this->Matches(this->SlotAt(rank), query)) continue;
    if (found.events.size() < query.limit) {
      found.events.push_back(this->MakeEvent(rank));
    } else {
      ++found.omitted;
    }
  }
  std::reverse(found.events.begin(), found.events.end());
  return found;
}

size_t Recorder::memory_bytes() const {
  return this->slots.size() * sizeof(Slot) + this->text.size();
}

const Recorder::Slot& Recorder::SlotAt(size_t age_rank) const {
  return this->slots[(this->first + age_rank) % this->slots.size()];
}

std::string_view Recorder::Subject(const Slot& slot) const {
  return {this->text.data() + slot.offset, slot.subject_bytes};
}

std::string_view Recorder::Parent(const Slot& slot) const {
  return {this->text.data() + slot.offset + slot.subject_bytes,
          slot.parent_bytes};
}

std::string_view Recorder::Detail(const Slot& slot) const {
  return {
      this->text.data() + slot.offset + slot.subject_bytes + slot.parent_bytes,
      slot.detail_bytes};
}

bool Recorder::Matches(const Slot& slot, const EventQuery& query) const {
  if (slot.time.wall_microseconds < query.from_microseconds) return false;
  if (slot.time.wall_microseconds >= query.to_microseconds) return false;
  return query.id.empty() || this->Subject(slot) == query.id ||
         this->Parent(slot) == query.id;
}

Event Recorder::MakeEvent(size_t age_rank) const {
  const Slot& slot = this->SlotAt(age_rank);
  return Event{.time = slot.time,
               .host = this->host,
               .sequence = this->next_sequence - this->kept + age_rank,
               .kind = slot.kind,
               .subject = std::string(this->Subject(slot)),
               .parent = std::string(this->Parent(slot)),
               .code = slot.code,
               .detail = std::string(this->Detail(slot))};
}

uint32_t Recorder::TakeText(size_t bytes) {
  size_t begin = this->text_head;
  const bool wraps = begin + bytes > this->text.size();
  if (wraps) begin = 0;
  // Drops the oldest events whose text lies in the bytes about to be written
  // or, after a wrap, in the rest behind the head.
  while (this->kept > 0 && bytes > 0) {
    const Slot& oldest = this->Oldest();
    const size_t oldest_begin = oldest.offset;
    // An event without text counts as one byte: it must not hide the events
    // behind it that share its offset.
    const size_t oldest_end =
        oldest_begin + std::max<size_t>(oldest.text_bytes(), 1);
    const bool overwritten = oldest_begin < begin + bytes && oldest_end > begin;
    const bool behind_head = wraps && oldest_begin >= this->text_head;
    if (!overwritten && !behind_head) break;
    this->first = (this->first + 1) % this->slots.size();
    --this->kept;
  }
  this->text_head = begin + bytes;
  return static_cast<uint32_t>(begin);
}

uint32_t Recorder::Append(uint32_t offset, std::string_view piece) {
  std::copy(piece.begin(), piece.end(), this->text.begin() + offset);
  return offset + static_cast<uint32_t>(piece.size());
}

}  // namespace agatepass::timeline
