#include "agatepass/peers/field_codec.h"

#include "fmt/format.h"

namespace agatepass::peers {

void WriteResources(const platform::Resources& resources,
                    wire::Resources::Builder builder) {
  builder.setMillicores(resources.millicores);
  builder.setMemoryMib(resources.memory_mib);
  builder.setAccelerators(resources.accelerators);
}

platform::Resources ReadResources(wire::Resources::Reader reader) {
  const platform::Resources resources{.millicores = reader.getMillicores(),
                                      .memory_mib = reader.getMemoryMib(),
                                      .accelerators = reader.getAccelerators()};
  if (!resources.IsValid()) {
    throw UnknownNumber("an amount of resources is below zero");
  }
  return resources;
}

base::ResultCode ReadResultCode(uint16_t number) {
  const auto code = static_cast<base::ResultCode>(number);
  if (base::DescribeResultCode(code).code != code) {
    throw UnknownNumber(fmt::format("result code {} is not known", number));
  }
  return code;
}

}  // namespace agatepass::peers
